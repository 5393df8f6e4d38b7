import { resultCodes } from "@auburnarch/errors/resultCodes";
import { countTokens } from "@auburnarch/streams/countTokens";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { assertMayStart } from "./assertMayStart.js";
import { concludeSample } from "./concludeSample.js";
import { createWorkAbort } from "./createWorkAbort.js";
import { expectedEngineMs } from "./expectedEngineMs.js";
import { findCommonRefusal } from "./findCommonRefusal.js";
import { findQuarantineRefusal } from "./findQuarantineRefusal.js";
import { findQueueRefusal } from "./findQueueRefusal.js";
import { findSampleRefusal } from "./findSampleRefusal.js";
import type { GenerationEnd } from "./GenerationEnd.js";
import { refusalOutcome } from "./refusalOutcome.js";
import { runGeneration } from "./runGeneration.js";
import { runWithReservation } from "./runWithReservation.js";
import type { ServedWeights } from "./ServedWeights.js";
import type { SidecarContext } from "./SidecarContext.js";
import type { Slot } from "./Slot.js";
import type { WorkAbort } from "./WorkAbort.js";

type Outcome = AttemptOutcome<SampleAnswer>;

/** Creates `runSample` of a sidecar: checks, queue, generation and outcome. */
export function createSampleRunner(
    context: SidecarContext,
    engine: EnginePort | undefined,
    weights: ServedWeights | undefined,
): SidecarPort["runSample"] {
    const { clock, logger, metrics, invariants } = context.deps;

    function refuse(attempt: SampleAttempt, code: ResultCode): Outcome {
        const fields = {
            attempt: attempt.attempt,
            sample: attempt.sample,
            code: code.number,
            reason: code.name,
        };
        logger.info("sampleRefused", { ...fields, job: attempt.job, waiting: context.slots.waiting() });
        metrics.count("gate_attempts_total", { kind: "sample", outcome: code.name });
        return refusalOutcome(code);
    }

    /** Ends an attempt that was accepted but did not start. */
    function refuseStarted(attempt: SampleAttempt, code: ResultCode): Outcome {
        context.attempts.refuse(attempt.attempt);
        return refuse(attempt, code);
    }

    async function runSample(
        attempt: SampleAttempt,
        onSpan: (span: TokenSpan) => void,
        signal: AbortSignal,
    ): Promise<Outcome> {
        const refusal = findCommonRefusal(context, attempt) ?? findSampleRefusal(context, attempt)
            ?? findQueueRefusal(context, attempt);
        if (refusal !== undefined) {
            if (context.attempts.statusOf(attempt.attempt) === undefined) {
                context.attempts.refuse(attempt.attempt);
            }
            return refuse(attempt, refusal);
        }
        assertMayStart(context, attempt.attempt);
        const highest = context.fencing.highest(attempt.job);
        const isForward = highest === undefined || attempt.fencing >= highest;
        const fields = { attempt: attempt.attempt, fencing: attempt.fencing, highest };
        invariants.check(resultCodes.fencingWentBack, isForward, fields);
        context.fencing.raise(attempt.job, attempt.fencing);
        context.attempts.start(attempt.attempt);
        const work = createWorkAbort({ clock, callerSignal: signal, inFlight: context.inFlight });
        try {
            const run = (budgetMs: number): Promise<Outcome> =>
                waitAndRun({ ...attempt, budgetMs }, onSpan, work);
            return await runWithReservation(context, attempt, work.signal, run)
                ?? refuseStarted(attempt, resultCodes.overloaded);
        }
        finally {
            work.dispose();
        }
    }

    async function waitAndRun(
        attempt: SampleAttempt,
        onSpan: (span: TokenSpan) => void,
        work: WorkAbort,
    ): Promise<Outcome> {
        const grant = await context.slots.acquire({
            team: attempt.team,
            priority: attempt.priority,
            costMs: expectedEngineMs(context, attempt),
            budgetMs: attempt.budgetMs,
            policy: attempt.policy,
            preempt: work.abort,
            signal: work.signal,
        });
        if (grant.kind === "refused") {
            return refuseStarted(attempt, grant.code);
        }
        // The weights, the owner or the quarantine list may have changed while the sample waited.
        const lateRefusal = findSampleRefusal(context, attempt) ?? findQuarantineRefusal(context, attempt);
        if (lateRefusal !== undefined) {
            grant.slot.release(0);
            return refuseStarted(attempt, lateRefusal);
        }
        work.expireAfter(attempt.budgetMs - grant.slot.waitedMs, () => {});
        return runAtEngine(attempt, onSpan, work.signal, grant.slot);
    }

    async function runAtEngine(
        attempt: SampleAttempt,
        onSpan: (span: TokenSpan) => void,
        signal: AbortSignal,
        slot: Slot,
    ): Promise<Outcome> {
        logger.info("sampleStarted", {
            attempt: attempt.attempt,
            sample: attempt.sample,
            digest: attempt.digest,
            team: attempt.team,
            priority: attempt.priority,
            waitedMs: Math.round(slot.waitedMs),
            running: slot.othersRunning + 1,
            limit: context.limit.current(),
            waiting: context.slots.waiting(),
            version: weights!.versionOf(attempt.policy),
        });
        const end = await runGeneration(context, {
            engine: engine!,
            weights: weights!,
            request: {
                attempt: attempt.attempt,
                policy: attempt.policy,
                prompt: attempt.prompt,
                resumeText: attempt.resume.map(span => span.text).join(""),
                resumeTokens: countTokens(attempt.resume),
                maxTokens: attempt.maxTokens,
                priority: attempt.priority,
                seed: attempt.seed,
            },
            digest: attempt.digest,
            resume: attempt.resume,
            onSpan,
            signal,
        });
        return conclude(attempt, end, slot);
    }

    function conclude(attempt: SampleAttempt, end: GenerationEnd, slot: Slot): Outcome {
        if (end.kind === "rejected") {
            slot.release(0);
            return refuseStarted(attempt, end.code);
        }
        slot.release(end.engineMs);
        context.attempts.finish(attempt.attempt);
        return concludeSample(context, attempt, end);
    }

    return runSample;
}
