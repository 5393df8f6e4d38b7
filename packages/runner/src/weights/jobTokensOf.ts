import type { LotEntry } from "@auburnarch/lots/LotEntry";
import type { PolicyId } from "@auburnarch/types/PolicyId";

/** Jobs that a policy's work is judged by; one alone differs from the next by a quarter. */
const latestJobs = 4;

/** Output tokens of one of a policy's latest jobs, on average; undefined while none that says is known. */
export function jobTokensOf(lots: readonly LotEntry[], policy: PolicyId): number | undefined {
    const latest = lots
        .filter(lot => lot.policy === policy && lot.expectedTokens !== undefined)
        .sort((a, b) => b.submittedAtMs - a.submittedAtMs)
        .slice(0, latestJobs);
    const total = latest.reduce((sum, lot) => sum + lot.expectedTokens!, 0);
    return latest.length === 0 ? undefined : total / latest.length;
}
