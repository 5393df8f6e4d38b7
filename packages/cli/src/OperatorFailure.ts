import type { OperatorError } from "@auburnarch/types/OperatorError";

/** An error returned by an entry, or the failure to get a valid answer from it. */
export class OperatorFailure extends Error {
    readonly error: OperatorError;

    constructor(error: OperatorError) {
        super(error.message);
        this.name = "OperatorFailure";
        this.error = error;
    }
}
