import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** True if no span was made by weights older than `minVersion`. */
export function isFresh(spans: readonly TokenSpan[], minVersion: WeightVersion): boolean {
    return spans.every(span => span.version >= minVersion);
}
