/**
 * Blocks of memory that are used again and again. Dropped buffers of changing sizes take several times the memory of
 * those in use, until the garbage collector and the allocator give it back.
 */
export interface BlockPool {
    blockBytes: number;
    take(): Buffer;
    /** Returns a block of `blockBytes` to which nothing else refers. */
    put(block: Buffer): void;
    /** Frees most of the free blocks. */
    trim(): void;
}
