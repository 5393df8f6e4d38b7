import type { ResultCode } from "@auburnarch/types/ResultCode";
import { resultCodes } from "./resultCodes.js";
import { ResultError } from "./ResultError.js";

/** The result code of anything thrown; `internal` for what is not a `ResultError`. */
export function codeOf(error: unknown): ResultCode {
    return error instanceof ResultError ? error.code : resultCodes.internal;
}
