import { authenticate } from "@auburnarch/admit/authenticate";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import { createAdmission } from "./createAdmission.js";
import { createDecisionBook } from "./createDecisionBook.js";
import { createFleet } from "./createFleet.js";
import { createLeavingWatch } from "./createLeavingWatch.js";
import { createManifestPublisher } from "./createManifestPublisher.js";
import { createOperations } from "./createOperations.js";
import { createOwnership } from "./createOwnership.js";
import { createPeerDesk } from "./createPeerDesk.js";
import { createQuickStart } from "./createQuickStart.js";
import { createRankCache } from "./createRankCache.js";
import { createServiceDesk } from "./createServiceDesk.js";
import { createStoreWatch } from "./createStoreWatch.js";
import { createTrainerDesk } from "./createTrainerDesk.js";
import { createTrialSidecar } from "./createTrialSidecar.js";
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
    const storeWatch = createStoreWatch(deps.store);
    const { store, isReachable } = storeWatch;
    const fleet = createFleet(
        deps,
        logger,
        storeWatch,
        {
            noteCleanFinish: digest => admission.quarantine.noteCleanFinish(digest),
            noteLost: (report, digest) => admission.noteLost(report, digest),
            wrapSidecar: port =>
                createTrialSidecar(port, { quarantine: admission.quarantine, logger, metrics }),
        },
    );
    const { views, membership, spread } = fleet;
    const { directory, jobs } = createOwnership(deps, fleet, logger, store);
    const manifest = () => fleet.manifest()?.manifest;
    const calls = trackCalls();

    const rank = createRankCache();
    const isCollectorOf = (sampler: SamplerId): boolean =>
        rank(sampler, fleet.listLiveEntries())[0] === self.entry;
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
    const admission = createAdmission({ deps, fleet, directory, logger, store });
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
        quarantine: admission.quarantine,
        takePlace: admission.takePlace,
        runKeyed: admission.runKeyed,
        guards: deps.guards?.send,
    });
    const quickStart = createQuickStart({
        fleet,
        clock,
        logger,
        snapshot: deps.startSnapshot,
        save: deps.saveSnapshot,
    });
    const isSettled = () => spread.isCaughtUp() || quickStart.maySettle();
    const isReady = () => !calls.isClosed() && isSettled() && manifest() !== undefined;
    const operations = createOperations({
        deps,
        fleet,
        jobs,
        directory,
        usage,
        publish: publisher.publish,
        quarantine: admission.quarantine,
        ownedRanges: admission.ownedRanges,
        callsInFlight: calls.running,
        isStoreReachable: isReachable,
        isReady,
        book,
    });
    const receive = createPeerDesk({
        fleet,
        jobs,
        train,
        describeHere: operations.describeHere,
        keep: deps.keep,
    });

    const leaving = createLeavingWatch({ fleet, vmList: deps.vmList, clock, logger });
    const parts = [quickStart, fleet, leaving, usage, publisher, admission];
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
        teamUsage: team => calls.track(() => operations.readTeamUsage(team)),
        operate: operations.operate,
        receive,
        isReady,
        renderMetrics: operations.renderMetrics,
        shutdown: deadlineMs =>
            shutdownEntry({ calls, membership, jobs, admission, usage, parts, clock, logger }, deadlineMs),
    };
}
