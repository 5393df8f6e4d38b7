import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { AttemptObserver } from "./AttemptObserver.js";
import type { SendCounter } from "./SendCounter.js";

const unreachableCodes: ReadonlySet<number> = new Set([
    resultCodes.connectFailed.number,
    resultCodes.connectionBroken.number,
    resultCodes.sidecarUnreachable.number,
    resultCodes.incarnationChanged.number,
]);

/** Nothing was sent only if there was no connection; after any other error the request may have run. */
function toFailedOutcome(error: unknown): AttemptOutcome<never> {
    const code = codeOf(error);
    return code === resultCodes.sidecarUnreachable
        ? { kind: "notRun", code, retryAfterMs: undefined }
        : { kind: "unknown", code };
}

/**
 * Wraps a sidecar so that its sends are counted and their results are reported to `observer`. `connect` returns the
 * current connection and throws `sidecarUnreachable` if there is none.
 */
export function createCountedSidecar(
    counter: SendCounter,
    connect: () => SidecarPort,
    observer: AttemptObserver,
): SidecarPort {
    function reportOutcome(outcome: AttemptOutcome<unknown>, digest: ContentDigest): void {
        observer.recordContact(outcome.kind === "ran" || !unreachableCodes.has(outcome.code.number));
        if (outcome.kind === "unknown" && unreachableCodes.has(outcome.code.number)) {
            observer.recordInterrupted(digest);
        }
    }

    async function runCounted<Answer>(
        digest: ContentDigest,
        expectedTokens: number,
        run: (port: SidecarPort, progress: (tokens: number) => void) => Promise<AttemptOutcome<Answer>>,
    ): Promise<AttemptOutcome<Answer>> {
        const send = counter.begin(expectedTokens);
        try {
            const outcome = await run(connect(), send.progress);
            reportOutcome(outcome, digest);
            return outcome;
        }
        catch (error) {
            observer.recordContact(false);
            return toFailedOutcome(error);
        }
        finally {
            send.end();
        }
    }

    return {
        runSample: (attempt, onSpan, signal) =>
            runCounted(attempt.digest, attempt.maxTokens, async (port, progress) => {
                const forward: typeof onSpan = span => {
                    progress(span.tokens);
                    onSpan(span);
                };
                const outcome = await port.runSample(attempt, forward, signal);
                if (outcome.kind === "ran" && outcome.answer.complete) {
                    observer.recordCleanFinish(attempt.digest);
                }
                return outcome;
            }),
        callPlain: (request, signal) =>
            runCounted(request.digest, 0, port => port.callPlain(request, signal)),
        queryAttempt: async attempt => connect().queryAttempt(attempt),
        order: async order => connect().order(order),
        readReport: async () => connect().readReport(),
        readUsage: async () => connect().readUsage(),
        beginLeaving: async () => connect().beginLeaving?.(),
    };
}
