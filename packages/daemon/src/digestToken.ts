import { createHash } from "node:crypto";

/** SHA-256 of a token in hex, as settings and manifests keep it. */
export function digestToken(token: string): string {
    return createHash("sha256").update(token).digest("hex");
}
