import type { CursorState } from "./CursorState.js";

/** Turns cursor states into opaque signed strings and back. */
export interface CursorCodec {
    /** The length depends on the step's number of groups only. */
    encode(state: CursorState): string;
    /** Undefined unless this codec's key signed it for this job and step. */
    decode(cursor: string, job: string, step: number): CursorState | undefined;
}
