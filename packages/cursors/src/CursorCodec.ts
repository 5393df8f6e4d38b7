import type { CursorState } from "./CursorState.js";

/** Encodes cursor states as opaque signed strings and decodes them. */
export interface CursorCodec {
    /** The length of the cursor depends only on the step's number of groups. */
    encode(state: CursorState): string;
    /** Undefined unless the cursor was signed with this codec's key, for this job and step. */
    decode(cursor: string, job: string, step: number): CursorState | undefined;
}
