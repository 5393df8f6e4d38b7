/** An invariant violation found by a scripted run. */
export interface ScriptedViolation {
    promise: string;
    detail: string;
    /** Simulated time. */
    atMs: number;
}
