import type { LotEntry } from "@auburnarch/lots/LotEntry";
import type { PolicyId } from "@auburnarch/types/PolicyId";

/** Jobs that a policy is judged by; one alone differs from the next by a quarter. */
const latestJobs = 4;

/** Average of a value over a policy's latest jobs that tell it; undefined while none does. */
export function averageOfLatest(
    lots: readonly LotEntry[],
    policy: PolicyId,
    valueOf: (lot: LotEntry) => number | undefined,
): number | undefined {
    const values = lots
        .filter(lot => lot.policy === policy && valueOf(lot) !== undefined)
        .sort((a, b) => b.submittedAtMs - a.submittedAtMs)
        .slice(0, latestJobs)
        .map(lot => valueOf(lot)!);
    return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length;
}
