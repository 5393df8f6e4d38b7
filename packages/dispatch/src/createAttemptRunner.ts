import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Candidate } from "@auburnarch/selection/Candidate";
import type { PickDecision } from "@auburnarch/selection/PickDecision";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { countTokens } from "./countTokens.js";
import type { DispatcherDeps } from "./DispatcherDeps.js";
import type { DispatchState } from "./DispatchState.js";
import type { RunningAttempt } from "./RunningAttempt.js";
import type { SampleWork } from "./SampleWork.js";

type Picked = Extract<PickDecision, { kind: "picked"; }>;

/** Sends attempts and cancels them. */
interface AttemptRunner {
    send(work: SampleWork, candidate: Candidate, decision: Picked, nowMs: number): void;
    /** Cancels an attempt; its outcome is still reported. */
    end(attempt: RunningAttempt, cause: NonNullable<RunningAttempt["endCause"]>): void;
    /** Removes the attempt from the state; true the first time. */
    release(attempt: RunningAttempt): boolean;
    /** Resolves once all outcomes have been reported. */
    settled(): Promise<void>;
}

/** Longest time that a sidecar may spend on one attempt. */
const attemptBudgetMs = 1_800_000;
const fallbackTokensPerSecond = 50;

/** Nobody awaits an attempt, so one that rejects would end the process; whether it ran is unknown then. */
async function runSample(
    { sidecar, logger }: Pick<DispatcherDeps, "sidecar" | "logger">,
    { sampler, abort }: RunningAttempt,
    request: SampleAttempt,
    onSpan: (span: TokenSpan) => void,
): Promise<AttemptOutcome<SampleAnswer>> {
    try {
        return await sidecar(sampler).runSample(request, onSpan, abort.signal);
    }
    catch (error) {
        const detail = error instanceof Error ? error.message : String(error);
        logger.error("attemptRejected", { sample: request.sample, attempt: request.attempt, detail });
        return { kind: "unknown", code: resultCodes.connectionBroken };
    }
}

/** Creates the attempt runner of one dispatcher. `onOutcome` is called exactly once per attempt. */
export function createAttemptRunner(
    deps: DispatcherDeps,
    state: DispatchState,
    onOutcome: (attempt: RunningAttempt, outcome: AttemptOutcome<SampleAnswer>) => void,
): AttemptRunner {
    const { clock, logger, metrics } = deps;
    const pendingOutcomes = new Set<Promise<void>>();

    function toSampleAttempt(
        work: SampleWork,
        attempt: AttemptId,
        nowMs: number,
        tokensPerSecond: number,
    ): SampleAttempt {
        const { task } = work;
        const { job, team, policy, priority } = deps.job();
        const expectedRunMs = work.expectedTokens / tokensPerSecond * 1000;
        const { needAtMs } = task;
        return {
            attempt,
            sample: task.sample,
            job,
            team,
            policy,
            fencing: deps.fencing,
            minVersion: work.minVersion,
            prompt: task.prompt,
            maxTokens: task.maxTokens,
            priority: state.policy.priority({ jobPriority: priority, needAtMs, nowMs, expectedRunMs }),
            seed: task.seed,
            digest: task.digest,
            budgetMs: attemptBudgetMs,
            resume: work.resume,
        };
    }

    function logPick(attempt: RunningAttempt, decision: Picked): void {
        const { work } = attempt;
        logger.info("samplerPicked", {
            sample: work.task.sample,
            attempt: attempt.attempt,
            sampler: attempt.sampler,
            reason: decision.reason,
            candidates: decision.candidates,
            policy: state.policy.name,
            estimatedFinishMs: decision.estimatedFinishMs,
            expectedTokens: Math.round(work.expectedTokens),
            resumeTokens: countTokens(work.resume),
            waiting: state.queue.size(),
        });
        metrics.count("dispatch_attempts_total", { job: deps.job().job, reason: decision.reason });
    }

    function recordSent(attempt: RunningAttempt, candidate: Candidate): void {
        const { work, sampler } = attempt;
        state.queue.remove(work);
        state.attempts.add(attempt);
        state.attemptsSent++;
        state.samplerStats.recordSent(attempt);
        state.prefixHints.recordSent(work.task.prompt, sampler, attempt.sentAtMs);
        work.running.add(attempt);
        work.attemptsSent++;
        candidate.outstanding++;
        candidate.outstandingTokens += work.expectedTokens;
        candidate.sentSinceReport++;
        candidate.room--;
        candidate.lastSentOrder = state.samplerStats.recordOf(sampler).lastSentOrder;
    }

    function send(work: SampleWork, candidate: Candidate, decision: Picked, nowMs: number): void {
        work.resume = deps.resumeAt?.(work.task.sample, work.resume, decision.sampler) ?? work.resume;
        const attempt: RunningAttempt = {
            attempt: deps.random.nextId() as AttemptId,
            work,
            sampler: decision.sampler,
            service: candidate.view.report.service,
            abort: new AbortController(),
            resumedSpans: work.resume,
            spans: [],
            tokens: 0,
            expectedTokens: work.expectedTokens,
            sentAtMs: nowMs,
            firstSpanAtMs: undefined,
            lastSpanAtMs: undefined,
            firstSpanTokens: 0,
            endCause: undefined,
        };
        recordSent(attempt, candidate);
        logPick(attempt, decision);
        const speed = candidate.observedTokensPerSecond ?? fallbackTokensPerSecond;
        const request = toSampleAttempt(work, attempt.attempt, nowMs, speed);
        const handled = runSample(deps, attempt, request, span => recordSpan(attempt, span))
            .then(outcome => onOutcome(attempt, outcome));
        pendingOutcomes.add(handled);
        void handled.finally(() => pendingOutcomes.delete(handled));
    }

    function recordSpan(attempt: RunningAttempt, span: TokenSpan): void {
        const nowMs = clock.monotonicMs();
        attempt.spans.push(span);
        attempt.tokens += span.tokens;
        attempt.firstSpanTokens ||= span.tokens;
        attempt.firstSpanAtMs ??= nowMs;
        attempt.lastSpanAtMs = nowMs;
        if (span.version < attempt.work.minVersion) {
            end(attempt, "stale");
        }
    }

    function end(attempt: RunningAttempt, cause: NonNullable<RunningAttempt["endCause"]>): void {
        if (attempt.endCause === undefined) {
            attempt.endCause = cause;
            attempt.abort.abort();
        }
    }

    return {
        send,
        end,
        release: attempt => {
            if (!state.attempts.delete(attempt)) {
                return false;
            }
            attempt.work.running.delete(attempt);
            state.samplerStats.recordEnded(attempt, clock.monotonicMs());
            return true;
        },
        settled: async () => {
            await Promise.all(pendingOutcomes);
        },
    };
}
