import { countResultBytes } from "@auburnarch/batches/countResultBytes";
import type { ItemResult } from "@auburnarch/batches/ItemResult";
import { maxChunkBytes } from "./maxChunkBytes.js";

/**
 * Selects the results of the next chunk. Returns a copy: results that are added while the chunk is being written belong
 * to the next one. If they were taken for recorded with this chunk, they would be missing in the store, and their groups
 * would never become complete.
 */
export function selectChunkResults(waiting: ItemResult[]): ItemResult[] {
    let bytes = 0;
    const end = waiting.findIndex(result => (bytes += countResultBytes(result)) > maxChunkBytes);
    return end < 0 ? [...waiting] : waiting.slice(0, end);
}
