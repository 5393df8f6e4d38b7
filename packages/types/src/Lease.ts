import type { FencingNumber } from "./FencingNumber.js";

/** A lease as its holder uses it. */
export interface Lease {
    key: string;
    fencing: FencingNumber;
    /** True if nobody held it before, so that there is no earlier holder whose doings are unknown. */
    isFirst?: boolean;
    /** What was found when it was acquired; undefined where the keeper does not tell. */
    found?: "nothing" | "ownEarlier" | "released" | "lapsed";
    /** Milliseconds since the last confirmed renewal was sent, on the holder's own clock. */
    ageMs?(): number;
    /** True while the holder's own clock, counted from before the last renewal was sent, is within the lease. */
    isHeld(): boolean;
    /** Gives the lease up, so that another may take it at once. */
    release(): Promise<void>;
    /** Aborted once the lease is lost for good (another holder seen). */
    lost: AbortSignal;
}
