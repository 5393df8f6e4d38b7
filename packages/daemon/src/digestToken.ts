import { createHash } from "node:crypto";

/** SHA-256 digest of a token in hex, as used in manifests and for comparing tokens. */
export function digestToken(token: string): string {
    return createHash("sha256").update(token).digest("hex");
}
