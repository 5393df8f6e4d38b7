import type { Candidate } from "@auburnarch/selection/Candidate";
import { countTokens } from "./countTokens.js";
import type { createAttemptRunner } from "./createAttemptRunner.js";
import type { createPlacement } from "./createPlacement.js";
import type { DispatcherDeps } from "./DispatcherDeps.js";
import type { DispatchState } from "./DispatchState.js";
import { estimateBacklogMs } from "./estimateBacklogMs.js";
import { findMovable } from "./findMovable.js";
import { oldestStep } from "./oldestStep.js";
import type { RunningAttempt } from "./RunningAttempt.js";

/** Dispatches waiting samples to the samplers that have room now. */
interface DispatchRound {
    run(): void;
}

/** Limits the waiting samples that one round skips, which bounds the round's run time. */
const maxSkipped = 256;

/** Creates the round of one dispatcher: it first moves stragglers, then sends waiting samples. */
export function createDispatchRound(
    deps: DispatcherDeps,
    state: DispatchState,
    placement: ReturnType<typeof createPlacement>,
    runner: ReturnType<typeof createAttemptRunner>,
): DispatchRound {
    const { clock, logger } = deps;

    function expectRemaining(attempt: RunningAttempt, madeTokens: number): number {
        const { prompt, maxTokens } = attempt.work.task;
        return state.lengthModel.expectRemaining(prompt, madeTokens, maxTokens);
    }

    /**
     * Cancels attempts that would finish earlier on another sampler, where this round reserves room for them. Their
     * samples are queued again once the attempts have ended.
     */
    function moveStragglers(candidates: Candidate[], nowMs: number): void {
        for (const attempt of findMovable(state)) {
            const { work, sampler } = attempt;
            const current = candidates.find(({ view }) => view.report.sampler === sampler);
            const madeTokens = countTokens(attempt.resumedSpans) + attempt.tokens;
            const leftTokens = expectRemaining(attempt, madeTokens);
            const eligible = placement.listEligible(work, candidates, nowMs);
            const target = state.policy.move(
                { current, leftTokens, madeTokens, moves: work.moves },
                eligible,
            );
            if (target === undefined) {
                continue;
            }
            target.room--;
            target.reserved++;
            work.moves++;
            runner.end(attempt, "moved");
            logger.info("stragglerMoved", {
                sample: work.task.sample,
                attempt: attempt.attempt,
                from: sampler,
                to: target.view.report.sampler,
                madeTokens,
                leftTokens: Math.round(leftTokens),
            });
        }
    }

    /**
     * Cancels attempts at services that may no longer run their samples, such as after a change of the configuration,
     * if another sampler has room. Without one, cancelling would only delay the sample.
     */
    function moveDisallowed(candidates: Candidate[], nowMs: number): void {
        for (const attempt of state.attempts) {
            const { work, sampler, service } = attempt;
            const services = deps.servicesOf?.(work.task.sample);
            if (attempt.endCause !== undefined || services === undefined || services.has(service)) {
                continue;
            }
            const target = placement.listEligible(work, candidates, nowMs).find(each => each.room > 0);
            if (target === undefined) {
                continue;
            }
            target.room--;
            target.reserved++;
            runner.end(attempt, "moved");
            logger.info("attemptRerouted", {
                sample: work.task.sample,
                attempt: attempt.attempt,
                from: sampler,
                to: target.view.report.sampler,
                madeTokens: countTokens(attempt.resumedSpans) + attempt.tokens,
            });
        }
    }

    function sendWaiting(candidates: Candidate[], nowMs: number): void {
        let skipped = 0;
        const backlogMs = estimateBacklogMs(state, candidates);
        const oldest = oldestStep(state);
        const { freshnessWeight } = deps.job();
        const tokensPerMs = state.samplerStats.meanTokensPerSecond() / 1000;
        for (const work of state.queue.due(nowMs)) {
            if (skipped > maxSkipped || !candidates.some(candidate => candidate.room > 0)) {
                return;
            }
            const { latestStartMs } = work;
            const stepsAhead = work.task.step - oldest;
            const longRunMs = state.lengthModel.longTokens(work.task.maxTokens) / tokensPerMs;
            const timing = { stepsAhead, latestStartMs, backlogMs, longRunMs, freshnessWeight, nowMs };
            if (state.policy.hold(timing)) {
                continue;
            }
            const decision = placement.decide(work, candidates, nowMs);
            const chosen = candidates.find(({ view }) => view.report.sampler === decision.sampler);
            if (decision.kind === "picked") {
                runner.send(work, chosen!, decision, nowMs);
                continue;
            }
            skipped++;
            if (chosen !== undefined) {
                chosen.reserved++;
            }
        }
    }

    return {
        run: () => {
            const nowMs = clock.monotonicMs();
            const candidates = placement.listCandidates(nowMs);
            moveDisallowed(candidates, nowMs);
            moveStragglers(candidates, nowMs);
            sendWaiting(candidates, nowMs);
        },
    };
}
