/** The operator asks that a VM be emptied. */
export interface RetirementRequest {
    /** Time that it may take. */
    durationMs: number;
}
