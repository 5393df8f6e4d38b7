import type { BlockPool } from "./BlockPool.js";

/** Bytes that the process holds for the body of one request. */
export interface BodyHold {
    /** Memory for bodies that are being received. */
    blocks: BlockPool;
    /**
     * Counts more bytes. If they do not fit, the largest bodies that are still being received are given up first; false,
     * without counting the bytes, if this is the largest one, or if the hold is closed.
     */
    reserve(bytes: number): boolean;
    /** False if a body of this length would not fit, even if it were the only one that is being received. */
    canFit(bytes: number): boolean;
    /** Marks the body as received: from now on it is not given up for others. */
    complete(): void;
    /** The listener runs once the hold is closed before its body was received. */
    onGivenUp(listener: () => void): void;
    /** Frees all bytes; repeated calls have no effect. */
    close(): void;
}
