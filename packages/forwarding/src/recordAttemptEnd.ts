import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Logger } from "@auburnarch/types/Logger";
import type { ContentGuard } from "./ContentGuard.js";
import { isInvalidAnswer } from "./isInvalidAnswer.js";
import type { SamplerAttemptOutcome } from "./SamplerAttemptOutcome.js";
import type { UnansweredAttempts } from "./UnansweredAttempts.js";

interface EndedAttempt {
    request: string;
    sampler: IncarnationId;
    outcome: SamplerAttemptOutcome;
    /** Monotonic time. */
    sentAtMs: number;
    /** Whether this process cancelled the attempt or its time ran out. */
    isGivenUp: boolean;
}

const serverErrorStatus = 500;

/**
 * Records what the end of an attempt says about its content. Only an answer that shows that the content ran clears it:
 * a sampler may fail a request because it is about to end.
 */
export function recordAttemptEnd(
    content: ContentGuard,
    unanswered: UnansweredAttempts,
    logger: Logger,
    ended: EndedAttempt,
): void {
    const { request, sampler, outcome, sentAtMs, isGivenUp } = ended;

    /** An attempt at a sampler that had already ended says nothing of its content. */
    const hadEnded = (): boolean => content.hadEnded(sampler, sentAtMs, unanswered.answeredAtMs(sampler));

    function recordBreak(ageMs: number, isNoticedLater: boolean): void {
        if (hadEnded()) {
            return;
        }
        content.recordBreak(sampler, ageMs);
        logger.info("breakRecorded", { request, sampler, isNoticedLater, ...content.describe() });
    }

    function recordCompletion(status: number): void {
        const known = content.describe();
        if (Number(known["breaks"] ?? 0) > 0) {
            logger.info("breaksCleared", { request, sampler, status, ...known });
        }
        content.recordCompletion();
    }

    if (outcome.kind === "done" && outcome.answer.status < serverErrorStatus) {
        recordCompletion(outcome.answer.status);
    }
    else if (outcome.kind === "unknown" && isInvalidAnswer(outcome.code)) {
        logger.info("answerSpoiled", { request, sampler, code: outcome.code.number, detail: outcome.detail });
        content.recordNotRun();
    }
    else if (outcome.kind !== "unknown" || hadEnded()) {
        content.recordNotRun();
    }
    else if (outcome.code === resultCodes.connectionBroken && !isGivenUp) {
        recordBreak(0, false);
    }
    else {
        unanswered.record(sampler, sentAtMs, ageMs => recordBreak(ageMs, true));
    }
}
