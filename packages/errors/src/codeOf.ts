import type { ResultCode } from "@auburnarch/types/ResultCode";
import { resultCodes } from "./resultCodes.js";
import { ResultError } from "./ResultError.js";

/** The result code of a thrown value; `internal` for anything but a `ResultError`. */
export function codeOf(error: unknown): ResultCode {
    return error instanceof ResultError ? error.code : resultCodes.internal;
}
