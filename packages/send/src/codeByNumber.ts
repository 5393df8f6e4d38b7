import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";

const byNumber = new Map<number, ResultCode>(Object.values(resultCodes).map(code => [code.number, code]));

/** The result code of a number that another process sent; `internal` for one this release does not know. */
export function codeByNumber(number: number): ResultCode {
    return byNumber.get(number) ?? resultCodes.internal;
}
