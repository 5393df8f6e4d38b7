import { createHash, timingSafeEqual } from "node:crypto";

/** Compares a token with the SHA-256 (hex) of the right one in constant time. */
export function matchesDigest(token: string | undefined, digest: string): boolean {
    const offered = createHash("sha256").update(token ?? "").digest();
    const expected = Buffer.from(digest, "hex");
    return token !== undefined && expected.length === offered.length && timingSafeEqual(offered, expected);
}
