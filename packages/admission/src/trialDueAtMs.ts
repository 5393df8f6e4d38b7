import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { countedCrashes } from "./countedCrashes.js";
import { isSameCrash } from "./isSameCrash.js";
import { openTrials } from "./openTrials.js";
import type { TrialKind } from "./TrialKind.js";
import { trialLimits } from "./trialLimits.js";

const vmsToConfirm = 2;

/** Wall time from which one more trial keeps the whole fleet within `limit` per window. */
function withinLimitFromMs(records: readonly QuarantineRecord[], limit: number): number {
    const startedAtMs = records.flatMap(openTrials).map(trial => trial.atMs).sort((a, b) => b - a);
    const oldestInFullWindow = startedAtMs[limit - 1];
    return oldestInFullWindow === undefined ? 0 : oldestInFullWindow + trialLimits.windowMs;
}

interface Evidence {
    /** Trials followed by a recorded crash of the content. */
    crashed: number;
    /** Trials that neither cleared the content nor ended in a crash. */
    unknown: number;
    wasAlone: boolean;
}

function waitBeforeTrialMs({ crashed, unknown, wasAlone }: Evidence, kind: TrialKind): number {
    if (crashed > 0) {
        return trialLimits.afterConfirmedCrashMs * 2 ** (crashed - 1);
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
 * The number of crashes does not distinguish a bystander from a crash-inducing content. Whether the content was alone
 * in flight does, and one run alone decides it. Only a sidecar knows what was in flight on its engine; if the sidecar
 * crashed too, alone or with its VM, there is no count.
 *
 * A content that never crashed a sampler alone gets a trial soon, since its crashes have other explanations. One that
 * was alone at crashes on two VMs, or crashed a sampler in a trial, most likely induces crashes, and each trial costs
 * a sampler: it waits an hour, then two, then four. Only the first trial of a sample comes sooner. A trial with unknown
 * outcome proves nothing.
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
    const isAlone = (crash: QuarantineRecord["deaths"][number]): boolean =>
        crash.contents === 1
        // Contents that were cleared since then still count as in flight at the crash, which remains unexplained.
        && !others.some(other => other.deaths.some(each => isSameCrash(each, crash)));
    const vmsAlone = new Set(crashes.filter(isAlone).map(crash => crash.vm)).size;
    const crashed = trials.filter(trial => crashes.some(crash => crash.atMs >= trial.atMs)).length;
    const evidence = { crashed, unknown: trials.length - crashed, wasAlone: vmsAlone >= vmsToConfirm };
    const waitMs = waitBeforeTrialMs(evidence, kind);
    const latestMs = Math.max(...crashes.map(crash => crash.atMs), ...trials.map(trial => trial.atMs));
    // Likely crash-inducing contents leave one trial to contents whose crashes have other explanations.
    const limit = evidence.crashed > 0 || evidence.wasAlone
        ? trialLimits.maxOfLikelyCrashInducing
        : trialLimits.maxInWindow;
    return Math.max(latestMs + waitMs, withinLimitFromMs(records, limit));
}
