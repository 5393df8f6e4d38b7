import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { RunningAttempt } from "./RunningAttempt.js";

/**
 * Attempts to give up. A frozen VM answers neither yes nor no; without this the last sample of a step would wait
 * for its connection to time out while the trainer stands still.
 */
export function findStalled(
    attempts: Iterable<RunningAttempt>,
    views: SamplerView[],
    nowMs: number,
    stallMs: number,
): RunningAttempt[] {
    const suspected = new Set(views.filter(view => view.suspected).map(view => view.report.sampler));
    if (suspected.size === 0) {
        return [];
    }
    return [...attempts].filter(attempt =>
        suspected.has(attempt.sampler) && nowMs - (attempt.lastSpanAtMs ?? attempt.sentAtMs) > stallMs
    );
}
