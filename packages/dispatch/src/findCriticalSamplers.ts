import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { DispatchState } from "./DispatchState.js";
import { oldestStep } from "./oldestStep.js";
import type { RunningAttempt } from "./RunningAttempt.js";

/** A trainer counts as waiting for a step that it needs within this time. */
const leadMs = 5_000;
/** An attempt counts as a straggler once it exceeds its expected length by this factor. */
const stragglerFactor = 2;

const hasWaiting = (state: DispatchState, step: number): boolean => {
    for (const work of state.queue.all()) {
        if (work.task.step === step) {
            return true;
        }
    }
    return false;
};

/**
 * Finds samplers that run a straggler which the trainer waits for: no sample of the oldest step is left to be sent,
 * and its need date has passed or is near.
 */
export function findCriticalSamplers(state: DispatchState, nowMs: number): Set<SamplerId> {
    const oldest = oldestStep(state);
    const isCritical = ({ work, tokens, expectedTokens }: RunningAttempt): boolean =>
        work.task.step === oldest
        && work.task.needAtMs < nowMs + leadMs
        && tokens > stragglerFactor * expectedTokens;
    const critical = [...state.attempts].filter(isCritical);
    const samplers = critical.length === 0 || hasWaiting(state, oldest) ? [] : critical;
    return new Set(samplers.map(attempt => attempt.sampler));
}
