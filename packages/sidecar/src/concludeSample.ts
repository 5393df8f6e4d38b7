import { resultCodes } from "@auburnarch/errors/resultCodes";
import { countTokens } from "@auburnarch/streams/countTokens";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { GenerationEnd } from "./GenerationEnd.js";
import type { SidecarContext } from "./SidecarContext.js";

type Ran = Exclude<GenerationEnd, { kind: "rejected"; }>;

/** Records the usage of a sample that ran, logs it and builds its outcome. */
export function concludeSample(
    context: SidecarContext,
    attempt: SampleAttempt,
    end: Ran,
): AttemptOutcome<SampleAnswer> {
    const { logger, metrics } = context.deps;
    const { team, job } = attempt;
    context.usage.add({ team, job, engineMs: end.engineMs, tokens: end.tokens });
    const outcome = end.kind === "lost" ? "lost" : end.complete ? "complete" : "partial";
    metrics.count("gate_attempts_total", { kind: "sample", outcome });
    logger.info("sampleEnded", {
        attempt: attempt.attempt,
        sample: attempt.sample,
        outcome,
        code: end.kind === "lost" ? end.code.number : undefined,
        tokens: end.tokens,
        engineMs: Math.round(end.engineMs),
        versions: end.kind === "lost" ? undefined : end.spans.map(span => span.version).join(","),
    });
    return end.kind === "lost" ? { kind: "unknown", code: end.code } : toOutcome(context, attempt, end);
}

function toOutcome(
    context: SidecarContext,
    attempt: SampleAttempt,
    end: Extract<GenerationEnd, { kind: "ended"; }>,
): AttemptOutcome<SampleAnswer> {
    const { invariants, identity } = context.deps;
    const hasVersions = end.spans.every(span => Number.isInteger(span.version) && span.version >= 0);
    const hasAllTokens = countTokens(end.spans) === countTokens(attempt.resume) + end.tokens;
    const fields = { attempt: attempt.attempt, spans: end.spans.length };
    if (!invariants.check(resultCodes.provenanceMissing, hasVersions && hasAllTokens, fields)) {
        return { kind: "unknown", code: resultCodes.provenanceMissing };
    }
    return {
        kind: "ran",
        answer: {
            attempt: attempt.attempt,
            sampler: identity.sampler,
            spans: end.spans,
            complete: end.complete,
            engineMs: end.engineMs,
            cachedPromptTokens: end.cachedPromptTokens,
        },
    };
}
