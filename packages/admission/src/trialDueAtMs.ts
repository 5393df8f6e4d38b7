import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { countedCrashes } from "./countedCrashes.js";
import { isSameCrash } from "./isSameCrash.js";
import { openTrials } from "./openTrials.js";
import type { TrialKind } from "./TrialKind.js";
import { trialLimits } from "./trialLimits.js";

const vmsToConfirm = 2;

/** Wall time from which one more trial keeps the whole fleet within `limit` in a window. */
function withinLimitFromMs(records: readonly QuarantineRecord[], limit: number): number {
    const startedAtMs = records.flatMap(openTrials).map(trial => trial.atMs).sort((a, b) => b - a);
    const oldestInFullWindow = startedAtMs[limit - 1];
    return oldestInFullWindow === undefined ? 0 : oldestInFullWindow + trialLimits.windowMs;
}

interface Evidence {
    /** Trials after which a death of the content was told. */
    crashed: number;
    /** Trials that neither cleared it nor killed. */
    unknown: number;
    wasAlone: boolean;
}

function waitBeforeTrialMs({ crashed: killed, unknown, wasAlone }: Evidence, kind: TrialKind): number {
    if (killed > 0) {
        return trialLimits.afterConfirmedCrashMs * 2 ** (killed - 1);
    }
    const afterAloneMs = kind === "sample"
        ? trialLimits.firstSampleTrialMs
        : trialLimits.afterConfirmedCrashMs;
    const waitMs = wasAlone ? afterAloneMs : trialLimits.afterCrashMs;
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
    const crashes = countedCrashes(record, nowMs);
    const trials = openTrials(record);
    const others = records.filter(other => other.digest !== record.digest);
    const isAlone = (death: QuarantineRecord["deaths"][number]): boolean =>
        death.contents === 1
        // Also a content that is cleared by now was company: the death is as unexplained as before.
        && !others.some(other => other.deaths.some(each => isSameCrash(each, death)));
    const vmsAlone = new Set(crashes.filter(isAlone).map(death => death.vm)).size;
    const crashed = trials.filter(trial => crashes.some(death => death.atMs >= trial.atMs)).length;
    const evidence = { crashed, unknown: trials.length - crashed, wasAlone: vmsAlone >= vmsToConfirm };
    const waitMs = waitBeforeTrialMs(evidence, kind);
    const latestMs = Math.max(...crashes.map(death => death.atMs), ...trials.map(trial => trial.atMs));
    // Contents that most likely kill leave a trial to those whose deaths have other explanations.
    const limit = evidence.crashed > 0 || evidence.wasAlone
        ? trialLimits.maxOfLikelyCrashInducing
        : trialLimits.maxInWindow;
    return Math.max(latestMs + waitMs, withinLimitFromMs(records, limit));
}
