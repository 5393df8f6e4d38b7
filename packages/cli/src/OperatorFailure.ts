import type { OperatorError } from "@auburnarch/types/OperatorError";

/** An answer of an entry that is not a success, or the lack of one. */
export class OperatorFailure extends Error {
    readonly error: OperatorError;

    constructor(error: OperatorError) {
        super(error.message);
        this.name = "OperatorFailure";
        this.error = error;
    }
}
