import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { VmId } from "@auburnarch/types/VmId";

/** A sidecar that has not come back as another by then did not die: its connections broke. */
const waitMs = 60_000;

interface Lost {
    incarnation: IncarnationId;
    vm: VmId;
    atMs: number;
    digests: Set<ContentDigest>;
}

interface DeathWatch {
    /** An attempt of this content ended without an answer at the incarnation that made `report`. */
    noteLost(report: SamplerReport, digest: ContentDigest): void;
    /** Takes a later report of the sampler. */
    noteReport(report: SamplerReport): void;
}

/**
 * Notices sidecars that die together with what they ran, as when a content takes the whole VM down: such a sidecar
 * cannot tell what was in flight. An attempt that broke off and a new incarnation afterwards are the evidence.
 */
export function createDeathWatch(
    clock: Clock,
    noteDeath: (vm: VmId, incarnation: IncarnationId, digests: ContentDigest[]) => void,
): DeathWatch {
    const lost = new Map<SamplerId, Lost>();

    return {
        noteLost: (report, digest) => {
            const present = lost.get(report.sampler);
            const entry = present?.incarnation === report.incarnation
                ? present
                : {
                    incarnation: report.incarnation,
                    vm: report.vm,
                    atMs: 0,
                    digests: new Set<ContentDigest>(),
                };
            entry.atMs = clock.monotonicMs();
            entry.digests.add(digest);
            lost.set(report.sampler, entry);
        },
        noteReport: report => {
            const entry = lost.get(report.sampler);
            if (entry === undefined) {
                return;
            }
            if (report.incarnation !== entry.incarnation) {
                lost.delete(report.sampler);
                noteDeath(entry.vm, entry.incarnation, [...entry.digests]);
            }
            else if (clock.monotonicMs() - entry.atMs > waitMs) {
                lost.delete(report.sampler);
            }
        },
    };
}
