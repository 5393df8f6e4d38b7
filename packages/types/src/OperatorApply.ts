/** Body of `POST /operator/manifest`; the answer is an `OperatorApplied` or an `OperatorError`. */
export interface OperatorApply {
    manifest: unknown;
    /** Version the change was made against; 0 demands that none is published. */
    expectedVersion: number;
}
