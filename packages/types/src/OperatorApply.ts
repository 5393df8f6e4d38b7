/** Body of `POST /operator/manifest`; the answer is an `OperatorApplied` or an `OperatorError`. */
export interface OperatorApply {
    manifest: unknown;
    /** Version that the change is based on; 0 requires that no manifest is published. */
    expectedVersion: number;
}
