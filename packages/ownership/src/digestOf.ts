import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import { createHash } from "node:crypto";

/** SHA-256 of the JSON of `content`, in hex. */
export function digestOf(content: unknown): ContentDigest {
    return createHash("sha256").update(JSON.stringify(content)).digest("hex") as ContentDigest;
}
