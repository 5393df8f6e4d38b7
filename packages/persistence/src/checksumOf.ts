import { createHash } from "node:crypto";

const checksumChars = 16;

/** First 16 hex digits of the SHA-256 of a text; detects torn and corrupted records. */
export function checksumOf(text: string): string {
    return createHash("sha256").update(text).digest("hex").slice(0, checksumChars);
}
