import { authenticate } from "@auburnarch/admit/authenticate";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import { createAdmission } from "./createAdmission.js";
import { createDecisionBook } from "./createDecisionBook.js";
import { createDrainer } from "./createDrainer.js";
import { createFleet } from "./createFleet.js";
import { createJobReader } from "./createJobReader.js";
import { createManifestPublisher } from "./createManifestPublisher.js";
import { createMemberReader } from "./createMemberReader.js";
import { createOperatorDesk } from "./createOperatorDesk.js";
import { createOwnership } from "./createOwnership.js";
import { createPeerDesk } from "./createPeerDesk.js";
import { createServiceDesk } from "./createServiceDesk.js";
import { createStoreWatch } from "./createStoreWatch.js";
import { createTrainerDesk } from "./createTrainerDesk.js";
import { createUsageCollector } from "./createUsageCollector.js";
import type { Entry } from "./Entry.js";
import type { EntryDeps } from "./EntryDeps.js";
import { shutdownEntry } from "./shutdownEntry.js";
import { trackCalls } from "./trackCalls.js";

const defaultMaxBodyBytes = 1_048_576;
const notReadyRetryMs = 1_000;

/** Makes an entry. Its loops start at once; it is ready once it knows a manifest and has caught up with its peers. */
export function createEntry(deps: EntryDeps): Entry {
    const { self, clock, random, metrics, callPeer } = deps;
    const book = createDecisionBook(deps.logger, clock);
    const { logger } = book;
    const { store, isReachable } = createStoreWatch(deps.store);
    const fleet = createFleet(deps, logger, store);
    const { views, membership, spread } = fleet;
    const { leases, directory, jobs } = createOwnership(deps, fleet, logger, store);
    const manifest = () => fleet.manifest()?.manifest;
    const listJobs = () => manifest()?.jobs ?? [];
    const calls = trackCalls();

    const isCollectorOf = (sampler: SamplerId): boolean =>
        rankByRendezvous(sampler, fleet.listLiveEntries(), id => id)[0] === self.entry;
    const usage = createUsageCollector({
        self: self.entry,
        clock,
        logger,
        store,
        listOwn: () => views.listAll().map(each => each.report.sampler).filter(isCollectorOf),
        sidecar: views.sidecar,
    });
    const publisher = createManifestPublisher({
        clock,
        logger,
        store,
        readFile: deps.readManifestFile,
        onPublished: (version, value) => void spread.offer({ name: "manifest", version, value }),
    });
    const admission = createAdmission({ deps, fleet, leases, directory, logger, store });
    const train = createTrainerDesk({
        manifest,
        jobs,
        findOwner: directory.findJob,
        selfAddress: self.address,
        callPeer,
    });
    const call = createServiceDesk({
        self,
        clock,
        random: random.fork(),
        logger,
        metrics,
        manifest,
        views,
        isQuarantined: admission.isQuarantined,
        takePlace: admission.takePlace,
        runKeyed: admission.runKeyed,
        guards: deps.guards?.send,
    });
    const isReady = () => !calls.isClosed() && spread.isCaughtUp() && manifest() !== undefined;
    const members = createMemberReader({
        self,
        manifest: fleet.manifest,
        listEntries: membership.listEntries,
        listSamplers: views.listAll,
        callPeer,
    });
    const operate = createOperatorDesk({
        self,
        manifest: fleet.manifest,
        isReady,
        isStoreReachable: isReachable,
        readMembers: members.readAll,
        views,
        drain: createDrainer(views, callPeer, logger),
        publish: publisher.publish,
        readJobs: createJobReader({
            self: self.entry,
            listJobs,
            jobs,
            findOwner: directory.findJob,
            callPeer,
        }),
        usage,
        listQuarantine: admission.listQuarantine,
        liftQuarantine: admission.liftQuarantine,
        explain: book.explain,
    });
    const receive = createPeerDesk({ fleet, jobs, train, describeHere: members.describeHere });

    const parts = [fleet, usage, publisher, admission];
    parts.forEach(part => part.start());
    jobs.start();
    logger.info("entryStarted", { entry: self.entry, address: self.address });

    function demandManifest(): NonNullable<ReturnType<typeof manifest>> {
        const present = manifest();
        if (present === undefined) {
            throw new ResultError(resultCodes.notReady, "no manifest yet", notReadyRetryMs);
        }
        return present;
    }

    return {
        authenticate: token => authenticate(token, demandManifest().teams),
        maxBodyBytes: () => manifest()?.limits.maxBodyBytes ?? defaultMaxBodyBytes,
        call: (request, signal) => calls.track(() => call(request, signal)),
        train: (team, trainerCall, forwarded) => calls.track(() => train(team, trainerCall, forwarded)),
        teamUsage: team => calls.track(() => operate.readTeamUsage(team)),
        operate: operate.run,
        receive,
        isReady,
        renderMetrics: () => metrics.render(),
        shutdown: deadlineMs =>
            shutdownEntry({ calls, membership, jobs, leases, usage, parts, clock, logger }, deadlineMs),
    };
}
