import type { ResultCode } from "@auburnarch/types/ResultCode";
import { ResultError } from "./ResultError.js";

/** An error of a request that may have run, also if its code is otherwise used only for requests that did not. */
export class UnknownOutcomeError extends ResultError {
    constructor(code: ResultCode) {
        super(code);
        this.name = "UnknownOutcomeError";
    }
}
