import { createHash } from "node:crypto";
import { rangeCount } from "./rangeCount.js";

/** Number of the range that a key belongs to, the same on every entry and evenly spread. A UUID's case does not matter. */
export function rangeOf(key: string): number {
    return createHash("sha256").update(key.toLowerCase()).digest().readUInt32BE(0) % rangeCount;
}
