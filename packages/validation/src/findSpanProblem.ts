import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { isFresh } from "./isFresh.js";
import type { SampleProblem } from "./SampleProblem.js";
import type { VersionBounds } from "./VersionBounds.js";

const isVersion = (version: number): boolean => Number.isSafeInteger(version) && version >= 0;
const isTokenCount = (tokens: number): boolean => Number.isSafeInteger(tokens) && tokens > 0;

/**
 * Checks the spans of one sample. They are contiguous by construction, since each contains its own text; what can be
 * wrong is a span without a version, an empty or miscounted span, more tokens than requested, or a version out of
 * bounds.
 */
export function findSpanProblem(
    spans: readonly TokenSpan[],
    maxTokens: number,
    bounds: VersionBounds,
): SampleProblem | undefined {
    if (spans.length === 0) {
        return "noSpans";
    }
    if (!spans.every(span => isVersion(span.version))) {
        return "noVersion";
    }
    if (!spans.every(span => isTokenCount(span.tokens) && span.text !== "")) {
        return "badTokenCount";
    }
    if (spans.reduce((sum, span) => sum + span.tokens, 0) > maxTokens) {
        return "tooManyTokens";
    }
    if (!isFresh(spans, bounds.minVersion)) {
        return "staleVersion";
    }
    // An unpublished version means that the engine runs other weights than those of its job.
    if (!spans.every(span => span.version <= bounds.publishedVersion)) {
        return "unpublishedVersion";
    }
    return undefined;
}
