import { digestContent } from "@auburnarch/transport/digestContent";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { BreakRegistry } from "./BreakRegistry.js";
import type { ContentGuard } from "./ContentGuard.js";
import type { RoutedRequest } from "./RoutedRequest.js";

/** Creates the guard of one request. Its content is digested only once some content has been recorded. */
export function createContentGuard(
    breaks: BreakRegistry,
    { host, method, path, body }: Pick<RoutedRequest, "host" | "method" | "path" | "body">,
): ContentGuard {
    let digest: ContentDigest | undefined;

    const contentOf = (): ContentDigest => digest ??= digestContent({ target: host, method, path, body });

    return {
        pauseMs: () => breaks.isEmpty() ? 0 : breaks.pauseMs(contentOf()),
        mayRetry: () => breaks.isEmpty() || breaks.mayRetry(contentOf()),
        recordBreak: sampler => breaks.recordBreak(contentOf(), sampler),
        recordCompletion: () => {
            if (!breaks.isEmpty()) {
                breaks.recordCompletion(contentOf());
            }
        },
        describe: () => breaks.isEmpty() ? {} : breaks.describe(contentOf()),
    };
}
