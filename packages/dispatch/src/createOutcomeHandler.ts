import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { match } from "ts-pattern";
import { areSpansReliable } from "./areSpansReliable.js";
import { countTokens } from "./countTokens.js";
import type { createAttemptRunner } from "./createAttemptRunner.js";
import { createRetryAllowance } from "./createRetryAllowance.js";
import type { DispatcherDeps } from "./DispatcherDeps.js";
import type { DispatchState } from "./DispatchState.js";
import { findStalled } from "./findStalled.js";
import { isFruitless } from "./isFruitless.js";
import { joinSpans } from "./joinSpans.js";
import { pauseAfterFailure } from "./pauseAfterFailure.js";
import { pauseAfterRefusal } from "./pauseAfterRefusal.js";
import type { RunningAttempt } from "./RunningAttempt.js";
import type { SampleWork } from "./SampleWork.js";

/** Decides how a sample proceeds when one of its attempts ends. */
interface OutcomeHandler {
    handle(attempt: RunningAttempt, outcome: AttemptOutcome<SampleAnswer>): void;
    /** Abandons attempts on unresponsive samplers and queues their samples again. */
    abandonStalled(): void;
}

/** A sidecar that is suspected down may recover within this time. */
const defaultStallTimeoutMs = 2_000;

const fieldsOf = (attempt: RunningAttempt): { sample: string; attempt: string; sampler: string; } => ({
    sample: attempt.work.task.sample,
    attempt: attempt.attempt,
    sampler: attempt.sampler,
});

/** Saves the spans of an ended attempt if all may still be used and they are at least as long as the saved ones. */
function saveResumeSpans(work: SampleWork, spans: TokenSpan[]): void {
    const isFresh = spans.every(span => span.version >= work.minVersion);
    if (isFresh && countTokens(spans) >= countTokens(work.resume)) {
        work.resume = spans;
    }
}

/** Creates the outcome handler of one dispatcher. `enqueue` puts a sample back into the queue after a delay. */
export function createOutcomeHandler(
    deps: DispatcherDeps,
    state: DispatchState,
    runner: () => Pick<ReturnType<typeof createAttemptRunner>, "end" | "release">,
    enqueue: (work: SampleWork, delayMs: number) => void,
): OutcomeHandler {
    const { clock, logger } = deps;
    const takeRetry = deps.takeRetry
        ?? createRetryAllowance(() => deps.limits().retryBudgetRatio, () => state.attemptsSent);

    function enqueueIfIdle(work: SampleWork, delayMs: number): void {
        if (work.running.size === 0) {
            enqueue(work, delayMs);
        }
    }

    function finish(work: SampleWork, answer: SampleAnswer): void {
        state.unfinished.delete(work.task.sample);
        state.queue.remove(work);
        work.running.forEach(other => runner().end(other, "lostRace"));
        const tokens = countTokens(answer.spans);
        state.lengthModel.observe(work.task.prompt, tokens);
        logger.info("sampleMade", {
            sample: work.task.sample,
            attempt: answer.attempt,
            sampler: answer.sampler,
            tokens,
            spans: answer.spans.length,
            attempts: work.attemptsSent,
        });
        deps.onSampleGenerated({ task: work.task, answer });
    }

    function onAnswer(attempt: RunningAttempt, answer: SampleAnswer, isFirst: boolean): void {
        const { work } = attempt;
        state.prefixHints.recordCacheResult(work.task.prompt, attempt.sampler, answer.cachedPromptTokens);
        const isFresh = answer.spans.every(span => span.version >= work.minVersion);
        if (answer.complete && isFresh) {
            finish(work, answer);
            return;
        }
        if (!isFirst) {
            return;
        }
        if (isFresh) {
            saveResumeSpans(work, joinSpans(answer.spans));
        }
        logger.info("sampleRequeued", {
            ...fieldsOf(attempt),
            cause: isFresh ? attempt.endCause ?? "preempted" : "stale",
            keptTokens: countTokens(work.resume),
        });
        enqueueIfIdle(work, 0);
    }

    function onRefusal(attempt: RunningAttempt, code: ResultCode, retryAfterMs: number | undefined): void {
        if (code.number !== resultCodes.quarantined.number) {
            state.samplerStats.recordRefused(attempt.sampler, retryAfterMs, clock.monotonicMs());
        }
        logger.info("sampleRefused", {
            ...fieldsOf(attempt),
            code: code.number,
            name: code.name,
            retryAfterMs,
        });
        enqueueIfIdle(attempt.work, pauseAfterRefusal(code, retryAfterMs));
    }

    function retry(attempt: RunningAttempt, code: ResultCode): void {
        const { work } = attempt;
        const sampler = deps.listSamplers().find(each => each.report.sampler === attempt.sampler);
        if (areSpansReliable(sampler, code)) {
            saveResumeSpans(work, joinSpans(attempt.resumedSpans, attempt.spans));
        }
        work.failures++;
        work.fruitless = isFruitless(attempt, code) ? work.fruitless + 1 : 0;
        work.avoid.add(attempt.sampler);
        const isAllowed = takeRetry();
        logger.warn("sampleRetried", {
            ...fieldsOf(attempt),
            code: code.number,
            name: code.name,
            failures: work.failures,
            fruitless: work.fruitless,
            withinBudget: isAllowed,
            keptTokens: countTokens(work.resume),
        });
        enqueueIfIdle(work, pauseAfterFailure(code, work, isAllowed));
    }

    function abandon(attempt: RunningAttempt): void {
        runner().end(attempt, "stalled");
        runner().release(attempt);
        retry(attempt, resultCodes.connectionBroken);
    }

    return {
        handle: (attempt, outcome) => {
            const isFirst = runner().release(attempt);
            if (state.isStopped || state.unfinished.get(attempt.work.task.sample) !== attempt.work) {
                return;
            }
            match(outcome)
                .with({ kind: "ran" }, ran => onAnswer(attempt, ran.answer, isFirst))
                .with({ kind: "notRun" }, notRun => {
                    if (isFirst) {
                        onRefusal(attempt, notRun.code, notRun.retryAfterMs);
                    }
                })
                .with({ kind: "unknown" }, unknown => {
                    if (isFirst) {
                        retry(attempt, unknown.code);
                    }
                })
                .exhaustive();
        },
        abandonStalled: () => {
            const nowMs = clock.monotonicMs();
            for (
                const attempt of findStalled(
                    state.attempts,
                    deps.listSamplers(),
                    nowMs,
                    deps.stallTimeoutMs ?? defaultStallTimeoutMs,
                )
            ) {
                logger.warn("attemptStalled", {
                    ...fieldsOf(attempt),
                    silentMs: nowMs - (attempt.lastSpanAtMs ?? attempt.sentAtMs),
                });
                abandon(attempt);
            }
        },
    };
}
