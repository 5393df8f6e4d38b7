import type { Quarantine } from "@auburnarch/admission/Quarantine";
import type { TrialKind } from "@auburnarch/admission/TrialKind";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { TrialId } from "@auburnarch/types/TrialId";

interface TrialContent {
    digest: ContentDigest;
    kind: TrialKind;
}

interface TrialSidecarDeps {
    quarantine: Pick<Quarantine, "isRefused" | "takeTrial" | "returnTrial" | "trialDueInMs">;
    logger: Logger;
    metrics: Metrics;
}

/**
 * Wraps a sidecar so that quarantined content reaches it only as a trial. All requests and samples of an entry pass
 * through here, so each kind of caller receives its own answer if the content turns out to be harmless.
 */
export function createTrialSidecar(port: SidecarPort, deps: TrialSidecarDeps): SidecarPort {
    const { quarantine, logger, metrics } = deps;

    /** Adds the time until the next trial to a refusal; senders retry then. */
    function withTrialDelay<Answer>(
        { digest, kind }: TrialContent,
        outcome: AttemptOutcome<Answer>,
    ): AttemptOutcome<Answer> {
        return outcome.kind === "notRun" && outcome.code === resultCodes.quarantined
            ? { ...outcome, retryAfterMs: quarantine.trialDueInMs(digest, kind) }
            : outcome;
    }

    function recordTrialEnd(digest: ContentDigest, trial: TrialId, outcome: AttemptOutcome<unknown>): void {
        const result = outcome.kind === "ran" ? "ran" : outcome.code.name;
        logger.warn("contentTrialEnded", { digest, trial, outcome: outcome.kind, result });
        metrics.count("content_trials_total", { outcome: outcome.kind });
        if (outcome.kind === "notRun") {
            quarantine.returnTrial(digest, trial);
        }
    }

    async function run<Answer>(
        content: TrialContent,
        send: (isTrial: boolean) => Promise<AttemptOutcome<Answer>>,
    ): Promise<AttemptOutcome<Answer>> {
        const { digest, kind } = content;
        if (!quarantine.isRefused(digest)) {
            return withTrialDelay(content, await send(false));
        }
        const trial = await quarantine.takeTrial(digest, kind);
        if (trial === undefined) {
            return withTrialDelay(content, {
                kind: "notRun",
                code: resultCodes.quarantined,
                retryAfterMs: undefined,
            });
        }
        const outcome = await send(true);
        recordTrialEnd(digest, trial, outcome);
        return outcome;
    }

    return {
        ...port,
        // Only a trial has this field: sidecars of older releases refuse attempts with unknown fields.
        runSample: (attempt, onSpan, signal) =>
            run(
                { digest: attempt.digest, kind: "sample" },
                isTrial => port.runSample(isTrial ? { ...attempt, isTrial } : attempt, onSpan, signal),
            ),
        callPlain: (request, signal) =>
            run(
                { digest: request.digest, kind: "request" },
                isTrial => port.callPlain(isTrial ? { ...request, isTrial } : request, signal),
            ),
    };
}
