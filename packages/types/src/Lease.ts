import type { FencingNumber } from "./FencingNumber.js";

/** A lease as seen by its holder. */
export interface Lease {
    key: string;
    fencing: FencingNumber;
    /** True if nobody held it before, so that no earlier holder may have acted under it. */
    isFirst?: boolean;
    /**
     * State of the lease when it was acquired; undefined if the implementation does not report it. `ownUnsettled`: an
     * earlier process of the same holder had it, and ended before it settled.
     */
    found?: "nothing" | "ownEarlier" | "ownUnsettled" | "released" | "lapsed";
    /** Milliseconds since the last confirmed renewal was sent, by the holder's own clock. */
    ageMs?(): number;
    /** True while the lease is valid by the holder's own clock, counted from before the last renewal was sent. */
    isHeld(): boolean;
    /** Records that the holder no longer waits for calls of an earlier one to be over. */
    settle?(): void;
    /** Releases the lease, so that another process may acquire it at once. */
    release(): Promise<void>;
    /** Aborted once the lease is permanently lost, because another holder was seen. */
    lost: AbortSignal;
}
