import type { CursorState } from "./CursorState.js";

/** The cursor of a trainer that has received no group of the step yet. */
export function emptyCursor(job: string, step: number, groups: number, fencing: number): CursorState {
    return {
        job,
        step,
        fencing,
        groups,
        delivered: new Uint8Array(Math.ceil(groups / 8)),
        samples: 0,
        tokens: 0,
        engineMs: 0,
    };
}
