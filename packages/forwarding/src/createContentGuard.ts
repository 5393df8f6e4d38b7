import { digestContent } from "@auburnarch/transport/digestContent";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { BreakRegistry } from "./BreakRegistry.js";
import type { ContentGuard } from "./ContentGuard.js";
import type { RoutedRequest } from "./RoutedRequest.js";

/** Makes the guard of one request. While nothing has broken off anywhere its content is not digested. */
export function createContentGuard(
    breaks: BreakRegistry,
    { host, method, path, body }: Pick<RoutedRequest, "host" | "method" | "path" | "body">,
): ContentGuard {
    let digest: ContentDigest | undefined;

    const contentOf = (): ContentDigest => digest ??= digestContent({ target: host, method, path, body });

    return {
        pauseMs: () => breaks.isEmpty() ? 0 : breaks.pauseMs(contentOf()),
        mayRetry: () => breaks.isEmpty() || breaks.mayRetry(contentOf()),
        recordSent: () => {
            if (!breaks.isEmpty()) {
                breaks.recordSent(contentOf());
            }
        },
        recordBreak: () => breaks.recordBreak(contentOf()),
        recordCompletion: () => {
            if (!breaks.isEmpty()) {
                breaks.recordCompletion(contentOf());
            }
        },
    };
}
