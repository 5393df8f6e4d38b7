import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { createHash } from "node:crypto";

/**
 * Computes a digest of the breaks that count, which is the same for two processes that know the same; empty if there
 * are none. It holds until the first of the records expires.
 */
export function digestBreaks(
    records: readonly QuarantineRecord[],
    breaksOf: (content: ContentDigest) => QuarantineRecord["deaths"],
): { value: string; validUntilMs: number; } {
    const counted = records.filter(({ digest }) => breaksOf(digest).length > 0);
    if (counted.length === 0) {
        return { value: "", validUntilMs: Infinity };
    }
    const lines = counted.map(({ digest }) =>
        `${digest} ${breaksOf(digest).map(each => each.bootId).sort().join()}`
    );
    const value = createHash("sha256").update(lines.sort().join("\n")).digest("base64url").slice(0, 16);
    return { value, validUntilMs: Math.min(...counted.map(({ expiresAtMs }) => expiresAtMs)) };
}
