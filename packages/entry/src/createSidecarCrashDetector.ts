import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { VmId } from "@auburnarch/types/VmId";

/** If no new incarnation appears within this time, the connections broke but the sidecar did not crash. */
const maxWaitMs = 60_000;

interface InterruptedAttempts {
    incarnation: IncarnationId;
    vm: VmId;
    atMs: number;
    digests: Set<ContentDigest>;
}

interface SidecarCrashDetector {
    /** An attempt with this content ended without an answer at the incarnation that sent `report`. */
    recordInterrupted(report: SamplerReport, digest: ContentDigest): void;
    /** Processes a later report of the sampler. */
    recordReport(report: SamplerReport): void;
}

/**
 * Detects sidecars that crash together with the requests they run, for example when a request crashes the whole VM:
 * such a sidecar cannot report which requests were in flight. An interrupted attempt followed by a new incarnation of
 * the sampler counts as a crash.
 */
export function createSidecarCrashDetector(
    clock: Clock,
    recordCrash: (vm: VmId, incarnation: IncarnationId, digests: ContentDigest[]) => void,
): SidecarCrashDetector {
    const interruptedBySampler = new Map<SamplerId, InterruptedAttempts>();

    return {
        recordInterrupted: (report, digest) => {
            const known = interruptedBySampler.get(report.sampler);
            const interrupted = known?.incarnation === report.incarnation
                ? known
                : {
                    incarnation: report.incarnation,
                    vm: report.vm,
                    atMs: 0,
                    digests: new Set<ContentDigest>(),
                };
            interrupted.atMs = clock.monotonicMs();
            interrupted.digests.add(digest);
            interruptedBySampler.set(report.sampler, interrupted);
        },
        recordReport: report => {
            const interrupted = interruptedBySampler.get(report.sampler);
            if (interrupted === undefined) {
                return;
            }
            if (report.incarnation !== interrupted.incarnation) {
                interruptedBySampler.delete(report.sampler);
                recordCrash(interrupted.vm, interrupted.incarnation, [...interrupted.digests]);
            }
            else if (clock.monotonicMs() - interrupted.atMs > maxWaitMs) {
                interruptedBySampler.delete(report.sampler);
            }
        },
    };
}
