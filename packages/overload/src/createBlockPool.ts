import type { BlockPool } from "./BlockPool.js";
import { freeBuffer } from "./freeBuffer.js";

/** Free blocks that an idle pool keeps. */
const maxIdleBlocks = 64;

/** Creates a pool whose size is bounded by the blocks that are in use at once. */
export function createBlockPool(blockBytes: number): BlockPool {
    const free: Buffer[] = [];
    return {
        blockBytes,
        take: () => free.pop() ?? Buffer.allocUnsafeSlow(blockBytes),
        put: block => {
            free.push(block);
        },
        trim: () => free.splice(maxIdleBlocks).forEach(freeBuffer),
    };
}
