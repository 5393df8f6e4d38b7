/** Content of a cursor: the groups of one step that its trainer has received, and what they cost. */
export interface CursorState {
    job: string;
    step: number;
    /** Fencing number of the owner that issued it. */
    fencing: number;
    /** Number of groups in the step. */
    groups: number;
    /** One bit per group, from the lowest bit of the first byte on; set if the trainer has received the group. */
    delivered: Uint8Array;
    samples: number;
    tokens: number;
    engineMs: number;
}
