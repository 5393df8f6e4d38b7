import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { RunningAttempt } from "./RunningAttempt.js";

/**
 * Finds attempts to abandon: without a token for `stallMs` on a sampler that is suspected down. A frozen VM sends
 * neither tokens nor an error; the last sample of a step would otherwise wait for its connection to time out while
 * the trainer idles.
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
