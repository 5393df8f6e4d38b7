import type { KeyRange } from "@auburnarch/admission/KeyRange";

/** The key ranges that this entry owns. */
export interface RangeOwnership {
    start(): void;
    stop(): void;
    /** Returns the answer memory of a range, or undefined if this entry does not own it. */
    get(range: number): KeyRange | undefined;
    /** Number of owned ranges. */
    owned(): number;
}
