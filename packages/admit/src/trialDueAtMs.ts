import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { countedDeaths } from "./countedDeaths.js";
import { isSameDeath } from "./isSameDeath.js";
import { openTrials } from "./openTrials.js";
import type { TrialKind } from "./TrialKind.js";
import { trialLimits } from "./trialLimits.js";

const vmsToProve = 2;

/** Wall time from which one more trial keeps the whole fleet within `limit` in a window. */
function withinLimitFromMs(records: readonly QuarantineRecord[], limit: number): number {
    const begunAtMs = records.flatMap(openTrials).map(trial => trial.atMs).sort((a, b) => b - a);
    const oldestInFullWindow = begunAtMs[limit - 1];
    return oldestInFullWindow === undefined ? 0 : oldestInFullWindow + trialLimits.windowMs;
}

interface Evidence {
    /** Trials after which a death of the content was told. */
    killed: number;
    /** Trials that neither cleared it nor killed. */
    unknown: number;
    wasAlone: boolean;
}

function waitBeforeTrialMs({ killed, unknown, wasAlone }: Evidence, kind: TrialKind): number {
    if (killed > 0) {
        return trialLimits.afterProofMs * 2 ** (killed - 1);
    }
    const afterAloneMs = kind === "sample" ? trialLimits.firstOfSampleMs : trialLimits.afterProofMs;
    const waitMs = wasAlone ? afterAloneMs : trialLimits.afterDeathMs;
    return unknown > 0 ? Math.max(waitMs, trialLimits.afterUnknownMs) : waitMs;
}

/**
 * Wall time from which a refused content may run once more, alone on a sampler.
 *
 * The number of deaths cannot tell a bystander from a killer; whether it was alone at them can, and one run alone
 * decides. Only a sidecar knows what was in flight at its engine; where one died with its VM, or alone, nobody counted.
 *
 * A content that was always in company is tried soon, since its deaths have other explanations. One that was alone at
 * deaths on two VMs, or has killed in a trial, most likely kills, and each trial costs a sampler: it waits an hour, then
 * two, then four; only the first trial of a sample comes sooner. A trial that told nothing is no proof.
 */
export function trialDueAtMs(
    record: QuarantineRecord,
    records: readonly QuarantineRecord[],
    nowMs: number,
    kind: TrialKind,
): number {
    const deaths = countedDeaths(record, nowMs);
    const trials = openTrials(record);
    const others = records.filter(other => other.digest !== record.digest);
    const isAlone = (death: QuarantineRecord["deaths"][number]): boolean =>
        death.contents === 1
        // Also a content that is cleared by now was company: the death is as unexplained as before.
        && !others.some(other => other.deaths.some(each => isSameDeath(each, death)));
    const vmsAlone = new Set(deaths.filter(isAlone).map(death => death.vm)).size;
    const killed = trials.filter(trial => deaths.some(death => death.atMs >= trial.atMs)).length;
    const evidence = { killed, unknown: trials.length - killed, wasAlone: vmsAlone >= vmsToProve };
    const waitMs = waitBeforeTrialMs(evidence, kind);
    const latestMs = Math.max(...deaths.map(death => death.atMs), ...trials.map(trial => trial.atMs));
    // Contents that most likely kill leave a trial to those whose deaths have other explanations.
    const limit = evidence.killed > 0 || evidence.wasAlone
        ? trialLimits.maxOfLikelyKillers
        : trialLimits.maxInWindow;
    return Math.max(latestMs + waitMs, withinLimitFromMs(records, limit));
}
