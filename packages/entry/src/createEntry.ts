import { authenticate } from "@auburnarch/admission/authenticate";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import { createAdmission } from "./createAdmission.js";
import { createDecisionStore } from "./createDecisionStore.js";
import { createFleet } from "./createFleet.js";
import { createLeavingVmWatcher } from "./createLeavingVmWatcher.js";
import { createManifestPublisher } from "./createManifestPublisher.js";
import { createMonitoredStore } from "./createMonitoredStore.js";
import { createOperations } from "./createOperations.js";
import { createOwnership } from "./createOwnership.js";
import { createPeerHandler } from "./createPeerHandler.js";
import { createRankCache } from "./createRankCache.js";
import { createServiceHandler } from "./createServiceHandler.js";
import { createSnapshotRestore } from "./createSnapshotRestore.js";
import { createTrainerCallHandler } from "./createTrainerCallHandler.js";
import { createTrialSidecar } from "./createTrialSidecar.js";
import { createUsageCollector } from "./createUsageCollector.js";
import type { Entry } from "./Entry.js";
import type { EntryDeps } from "./EntryDeps.js";
import { shutdownEntry } from "./shutdownEntry.js";
import { trackCalls } from "./trackCalls.js";

const defaultMaxBodyBytes = 1_048_576;
const notReadyRetryMs = 1_000;

/**
 * Creates an entry and starts its loops. It is ready when it knows a manifest and its shared documents are up to date,
 * or when it may serve from its snapshot.
 */
export function createEntry(deps: EntryDeps): Entry {
    const { self, clock, random, metrics, callPeer } = deps;
    const decisionStore = createDecisionStore(deps.logger, clock);
    const { logger } = decisionStore;
    const monitoredStore = createMonitoredStore(deps.store);
    const { store, isReachable } = monitoredStore;
    const fleet = createFleet(
        deps,
        logger,
        monitoredStore,
        {
            recordCleanFinish: digest => admission.quarantine.recordCleanFinish(digest),
            recordInterrupted: (report, digest) => admission.recordInterrupted(report, digest),
            wrapSidecar: port =>
                createTrialSidecar(port, { quarantine: admission.quarantine, logger, metrics }),
        },
    );
    const { views, membership, documentSync } = fleet;
    const { directory, jobs } = createOwnership(deps, fleet, logger, store);
    const manifest = () => fleet.manifest()?.manifest;
    const calls = trackCalls();

    const rankEntries = createRankCache();
    const isCollectorOf = (sampler: SamplerId): boolean =>
        rankEntries(sampler, fleet.listLiveEntries())[0] === self.entry;
    const usage = createUsageCollector({
        self: self.entry,
        clock,
        logger,
        store,
        listAssignedSamplers: () => views.listAll().map(each => each.report.sampler).filter(isCollectorOf),
        sidecar: views.sidecar,
    });
    const publisher = createManifestPublisher({
        clock,
        logger,
        store,
        readFile: deps.readManifestFile,
        onPublished: (version, value) => void documentSync.offer({ name: "manifest", version, value }),
    });
    const admission = createAdmission({ deps, fleet, directory, logger, store });
    const handleTrainerCall = createTrainerCallHandler({
        manifest,
        jobs,
        findOwner: directory.findJob,
        selfAddress: self.address,
        callPeer,
    });
    const handleServiceCall = createServiceHandler({
        self,
        clock,
        random: random.fork(),
        logger,
        metrics,
        manifest,
        views,
        quarantine: admission.quarantine,
        acquireTeamSlot: admission.acquireTeamSlot,
        runKeyed: admission.runKeyed,
        guards: deps.guards?.send,
    });
    const snapshotRestore = createSnapshotRestore({
        fleet,
        clock,
        logger,
        snapshot: deps.startSnapshot,
        save: deps.saveSnapshot,
    });
    const mayServeManifest = () => documentSync.isCaughtUp() || snapshotRestore.mayServeSnapshot();
    const isReady = () => !calls.isClosed() && mayServeManifest() && manifest() !== undefined;
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
        decisionStore,
    });
    const receive = createPeerHandler({
        fleet,
        jobs,
        handleTrainerCall,
        describeHere: operations.describeHere,
        groupStore: deps.groupStore,
    });

    const leavingVmWatcher = createLeavingVmWatcher({ fleet, vmList: deps.vmList, clock, logger });
    const components = [snapshotRestore, fleet, leavingVmWatcher, usage, publisher, admission];
    components.forEach(part => part.start());
    jobs.start();
    logger.info("entryStarted", { entry: self.entry, address: self.address });

    function requireManifest(): NonNullable<ReturnType<typeof manifest>> {
        const present = manifest();
        if (present === undefined) {
            throw new ResultError(resultCodes.notReady, "no manifest yet", notReadyRetryMs);
        }
        return present;
    }

    return {
        authenticate: token => authenticate(token, requireManifest().teams),
        maxBodyBytes: () => manifest()?.limits.maxBodyBytes ?? defaultMaxBodyBytes,
        call: (request, signal) => calls.track(() => handleServiceCall(request, signal)),
        handleTrainerCall: (team, trainerCall, forwarded) =>
            calls.track(() => handleTrainerCall(team, trainerCall, forwarded)),
        teamUsage: team => calls.track(() => operations.readTeamUsage(team)),
        operate: operations.operate,
        receive,
        isReady,
        renderMetrics: operations.renderMetrics,
        shutdown: deadlineMs =>
            shutdownEntry(
                { calls, membership, jobs, admission, usage, components, clock, logger },
                deadlineMs,
            ),
    };
}
