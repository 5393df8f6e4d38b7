import type { ResultCode } from "@auburnarch/types/ResultCode";
import { resultCodes } from "./resultCodes.js";

const byNumber = new Map<unknown, ResultCode>(
    Object.values(resultCodes).map((code: ResultCode) => [code.number, code]),
);

/** The result code with a number from the wire, or `fallback` if this release does not know the number. */
export function codeByNumber(number: unknown, fallback: ResultCode = resultCodes.internal): ResultCode {
    return byNumber.get(number) ?? fallback;
}
