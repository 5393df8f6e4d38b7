import type { KeyRange } from "@auburnarch/admission/KeyRange";

/** The key ranges that this entry owns. */
export interface RangeOwnership {
    start(): void;
    stop(): void;
    /** The range's memory, undefined where this entry does not own it. */
    get(range: number): KeyRange | undefined;
    owned(): number;
}
