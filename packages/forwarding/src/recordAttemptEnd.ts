import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Logger } from "@auburnarch/types/Logger";
import type { ContentGuard } from "./ContentGuard.js";
import type { SamplerAttemptOutcome } from "./SamplerAttemptOutcome.js";

interface EndedAttempt {
    request: string;
    sampler: IncarnationId;
    outcome: SamplerAttemptOutcome;
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
    logger: Logger,
    ended: EndedAttempt,
): void {
    const { request, sampler, outcome, isGivenUp } = ended;

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
    else if (outcome.kind !== "unknown") {
        content.recordNotRun();
    }
    else if (outcome.code === resultCodes.connectionBroken && !isGivenUp) {
        content.recordBreak(sampler);
        logger.info("breakRecorded", { request, sampler, ...content.describe() });
    }
}
