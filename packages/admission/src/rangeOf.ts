import { createHash } from "node:crypto";
import { rangeCount } from "./rangeCount.js";

/** Index of a key's range, equal on every entry and evenly distributed. The case of a UUID does not matter. */
export function rangeOf(key: string): number {
    return createHash("sha256").update(key.toLowerCase()).digest().readUInt32BE(0) % rangeCount;
}
