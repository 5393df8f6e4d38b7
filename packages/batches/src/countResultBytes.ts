import type { ItemResult } from "./ItemResult.js";

/**
 * Number of bytes of a result as JSON. A character takes up to three bytes, and six if it is a control character or a
 * lone surrogate, which JSON escapes.
 */
export const countResultBytes = (result: ItemResult): number =>
    Buffer.byteLength(JSON.stringify(result), "utf8");
