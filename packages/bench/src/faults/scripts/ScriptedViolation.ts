/** A breach of a promise that a scripted run found. */
export interface ScriptedViolation {
    promise: string;
    detail: string;
    /** Simulated time. */
    atMs: number;
}
