import { digestContent } from "@auburnarch/transport/digestContent";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { BreakRegistry } from "./BreakRegistry.js";
import type { ContentGuard } from "./ContentGuard.js";
import type { ContentTrial } from "./ContentTrial.js";
import type { ContentTrials } from "./ContentTrials.js";
import type { RoutedRequest } from "./RoutedRequest.js";

/** Creates the guard of one request. Its content is digested only once some content has been recorded. */
export function createContentGuard(
    breaks: BreakRegistry,
    trials: ContentTrials,
    { host, method, path, body }: Pick<RoutedRequest, "host" | "method" | "path" | "body">,
): ContentGuard {
    let digest: ContentDigest | undefined;
    let trial: ContentTrial | undefined;
    let outcome: Parameters<ContentTrial["end"]>[0] = "notRun";

    const contentOf = (): ContentDigest => digest ??= digestContent({ target: host, method, path, body });

    async function takeTrial(limitMs: number): Promise<number> {
        const decision = await trials.take(contentOf(), limitMs);
        if (decision.kind === "paused") {
            return decision.pauseMs;
        }
        trial = decision.trial;
        return 0;
    }

    function admit(limitMs: number): Promise<number> | number {
        if (breaks.isEmpty()) {
            return 0;
        }
        const pauseMs = breaks.pauseMs(contentOf());
        return pauseMs > 0 || breaks.mayRetry(contentOf()) ? pauseMs : takeTrial(limitMs);
    }

    return {
        admit,
        mayRetry: () => breaks.isEmpty() || breaks.mayRetry(contentOf()),
        recordSent: () => {
            outcome = "unknown";
        },
        recordNotRun: () => {
            outcome = "notRun";
        },
        hadEnded: (sampler, sentAtMs, answeredAtMs) =>
            !breaks.isEmpty() && breaks.hadEnded(contentOf(), sampler, sentAtMs, answeredAtMs),
        recordBreak: (sampler, ageMs) => {
            outcome = "unknown";
            breaks.recordBreak(contentOf(), sampler, ageMs);
            if (!breaks.mayRetry(contentOf())) {
                trials.storeBreaks(contentOf());
            }
        },
        recordCompletion: () => {
            outcome = "completed";
            if (!breaks.isEmpty()) {
                breaks.recordCompletion(contentOf());
            }
        },
        close: () => trial?.end(outcome),
        describe: () => breaks.isEmpty() ? {} : breaks.describe(contentOf()),
    };
}
