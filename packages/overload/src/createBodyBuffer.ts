import type { BodyHold } from "./BodyHold.js";
import { freeBuffer } from "./freeBuffer.js";

interface BodyBuffer {
    /** Copies a chunk and frees it; false if the memory for it may not be used. */
    append(chunk: Uint8Array): boolean;
    bytes(): number;
    /** Hands out what was collected; the buffer is empty afterwards. */
    take(): Buffer;
    /** Drops what was collected. */
    clear(): void;
}

const minCapacityBytes = 4_096;

/**
 * Creates a buffer that collects at most `maxBytes`. Chunks are copied into blocks, because a chunk of a few bytes keeps
 * the whole block that was read from its socket. Each increase of the memory that it takes is first reserved in `hold`.
 */
export function createBodyBuffer(maxBytes: number, hold: Pick<BodyHold, "reserve" | "blocks">): BodyBuffer {
    const { blockBytes } = hold.blocks;
    /** All but the last are full; a single one may be smaller than `blockBytes`. */
    let blocks: Buffer[] = [];
    let bytes = 0;
    let capacityBytes = 0;

    /** Replaces the only block by a larger one. */
    function enlarge(neededBytes: number): boolean {
        const wantedBytes = Math.max(neededBytes, minCapacityBytes, 2 * capacityBytes);
        const largerBytes = Math.min(maxBytes, blockBytes, wantedBytes);
        if (!hold.reserve(largerBytes - capacityBytes)) {
            return false;
        }
        const larger = largerBytes === blockBytes
            ? hold.blocks.take()
            : Buffer.allocUnsafeSlow(largerBytes);
        blocks[0]?.copy(larger, 0, 0, bytes);
        blocks = [larger];
        capacityBytes = largerBytes;
        return true;
    }

    function addBlock(): boolean {
        if (!hold.reserve(blockBytes)) {
            return false;
        }
        blocks.push(hold.blocks.take());
        capacityBytes += blockBytes;
        return true;
    }

    function ensureCapacity(neededBytes: number): boolean {
        if (neededBytes > capacityBytes && capacityBytes < blockBytes && !enlarge(neededBytes)) {
            return false;
        }
        while (neededBytes > capacityBytes) {
            if (!addBlock()) {
                return false;
            }
        }
        return true;
    }

    function reset(): void {
        blocks = [];
        bytes = 0;
        capacityBytes = 0;
    }

    function returnBlocks(): void {
        blocks.filter(block => block.length === blockBytes).forEach(hold.blocks.put);
    }

    return {
        append: chunk => {
            if (!ensureCapacity(bytes + chunk.length)) {
                return false;
            }
            for (let copied = 0; copied < chunk.length;) {
                const at = bytes % blockBytes;
                const part = chunk.subarray(copied, copied + blockBytes - at);
                blocks[Math.floor(bytes / blockBytes)]!.set(part, at);
                copied += part.length;
                bytes += part.length;
            }
            freeBuffer(chunk);
            return true;
        },
        bytes: () => bytes,
        take: () => {
            const [first] = blocks;
            let content = first?.subarray(0, bytes) ?? Buffer.alloc(0);
            if (blocks.length > 1) {
                content = Buffer.allocUnsafeSlow(bytes);
                blocks.forEach((block, index) => block.copy(content, index * blockBytes));
                returnBlocks();
            }
            reset();
            return content;
        },
        clear: () => {
            returnBlocks();
            reset();
        },
    };
}
