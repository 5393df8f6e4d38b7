/** What a cursor says: the groups of one step that its trainer has, and what they cost. */
export interface CursorState {
    job: string;
    step: number;
    /** Fencing number of the owner that issued it. */
    fencing: number;
    /** Groups the step has. */
    groups: number;
    /** One bit a group, lowest bit of the first byte first; set if the trainer has the group. */
    delivered: Uint8Array;
    samples: number;
    tokens: number;
    engineMs: number;
}
