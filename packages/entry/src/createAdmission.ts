import { createQuarantine } from "@auburnarch/admission/createQuarantine";
import { createTeamLimit } from "@auburnarch/admission/createTeamLimit";
import type { Quarantine } from "@auburnarch/admission/Quarantine";
import { createLeaseManager } from "@auburnarch/lease/createLeaseManager";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { TeamId } from "@auburnarch/types/TeamId";
import { createKeyedRequestHandler } from "./createKeyedRequestHandler.js";
import { createLeaseScan } from "./createLeaseScan.js";
import { createRangeOwnership } from "./createRangeOwnership.js";
import { createSidecarCrashDetector } from "./createSidecarCrashDetector.js";
import type { EntryDeps } from "./EntryDeps.js";
import type { Fleet } from "./Fleet.js";
import type { OwnerDirectory } from "./OwnerDirectory.js";

const defaultMaxQueued = 100;
const reportPollMs = 500;
/**
 * Each of the 32 leases is renewed three times per TTL: with a TTL of 10 s that is 10 writes per second for the whole
 * fleet, regardless of the number of entries.
 */
const minRangeTtlMs = 10_000;
const rangePrefix = "leases/range/";

interface AdmissionDeps {
    deps: EntryDeps;
    fleet: Fleet;
    directory: OwnerDirectory;
    logger: Logger;
    store: ObjectStore;
}

interface Admission {
    start(): void;
    stop(): void;
    quarantine: Quarantine;
    acquireTeamSlot(team: TeamId): () => void;
    runKeyed: ReturnType<typeof createKeyedRequestHandler>;
    /** An attempt with this content was interrupted at the incarnation that sent the report. */
    recordInterrupted(report: SamplerReport, digest: ContentDigest): void;
    ownedRanges(): number;
    /** Releases the key ranges, so that other entries can take them over immediately. */
    release(): Promise<void>;
}

/** Creates the checks before a request runs: the team's queue limit, the quarantine and at most one run per key. */
export function createAdmission({ deps, fleet, directory, logger, store }: AdmissionDeps): Admission {
    const { clock, random, self } = deps;
    const { documentSync } = fleet;
    const stopped = new AbortController();
    const quarantine = createQuarantine({
        store,
        clock,
        random: random.fork(),
        logger,
        isConvicted: deps.guards?.isConvicted,
        isTrialDue: deps.guards?.isTrialDue,
    });
    const crashDetector = createSidecarCrashDetector(clock, quarantine.recordCrash);
    const teamLimit = createTeamLimit({
        maxPerTeam: () => fleet.manifest()?.manifest.limits.maxQueuedPerTeam ?? defaultMaxQueued,
    });
    const rangeTtlMs = Math.max(minRangeTtlMs, deps.leaseTtlMs);
    const rangeLeases = createLeaseManager({
        store,
        clock,
        random: random.fork(),
        logger,
        invariants: deps.invariants,
        holder: self.entry,
        ttlMs: rangeTtlMs,
        guards: deps.guards?.lease,
    });
    const ranges = createRangeOwnership({
        self: self.entry,
        clock,
        logger,
        invariants: deps.invariants,
        guards: deps.guards?.keyRange,
        listEntries: fleet.listLiveEntries,
        tryAcquireLease: rangeLeases.tryAcquire,
        findAcquirableLeases: createLeaseScan({
            store,
            leases: rangeLeases,
            prefix: rangePrefix,
            ttlMs: rangeTtlMs,
        }),
        announce: directory.announceRange,
    });
    const runKeyed = createKeyedRequestHandler({
        clock,
        logger,
        selfAddress: self.address,
        findRange: ranges.get,
        findOwnerAddress: directory.findRange,
        forward: deps.forwardPlain,
    });

    async function processReports(): Promise<void> {
        while (!stopped.signal.aborted) {
            for (const { report } of fleet.views.listAll()) {
                crashDetector.recordReport(report);
                quarantine.recordSuspects(report);
            }
            await clock.sleep(reportPollMs, stopped.signal);
        }
    }

    return {
        start: () => {
            documentSync.onChange(document => {
                if (document.name === "quarantine") {
                    quarantine.offer(document);
                }
            });
            void quarantine.run(stopped.signal, documentSync.offer);
            void processReports();
            ranges.start();
        },
        stop: () => {
            stopped.abort();
            ranges.stop();
        },
        quarantine,
        acquireTeamSlot: teamLimit.acquire,
        runKeyed,
        recordInterrupted: crashDetector.recordInterrupted,
        ownedRanges: ranges.owned,
        release: rangeLeases.releaseAll,
    };
}
