import { createHash, timingSafeEqual } from "node:crypto";

/** Checks in constant time whether a token has the expected SHA-256 digest (hex). */
export function matchesDigest(token: string | undefined, digest: string): boolean {
    const offered = createHash("sha256").update(token ?? "").digest();
    const expected = Buffer.from(digest, "hex");
    return token !== undefined && expected.length === offered.length && timingSafeEqual(offered, expected);
}
