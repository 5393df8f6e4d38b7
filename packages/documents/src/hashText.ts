import { createHash } from "node:crypto";

/** Hex SHA-256 of a text. */
export function hashText(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}
