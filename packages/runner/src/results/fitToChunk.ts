import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import { countResultBytes } from "@auburnarch/batches/countResultBytes";
import type { ItemResult } from "@auburnarch/batches/ItemResult";
import type { Logger } from "@auburnarch/types/Logger";
import { maxChunkBytes } from "./maxChunkBytes.js";

/**
 * Returns the result, or the item as terminated if its text fits into no chunk: such a result would never be recorded,
 * nor would any after it.
 */
export function fitToChunk(result: ItemResult, logger: Logger, lot: BatchJobId): ItemResult {
    const bytes = countResultBytes(result);
    if (bytes <= maxChunkBytes) {
        return result;
    }
    const { item } = result;
    logger.warn("resultTooLarge", { lot, item, bytes, limitBytes: maxChunkBytes });
    return { item, state: "terminated", output: "", versions: [], score: undefined };
}
