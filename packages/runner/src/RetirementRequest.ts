/** The operator's request to vacate a VM. */
export interface RetirementRequest {
    /** Time that the retirement may take. */
    durationMs: number;
}
