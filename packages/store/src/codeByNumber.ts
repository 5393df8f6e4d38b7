import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";

const byNumber = new Map<unknown, ResultCode>(
    Object.values(resultCodes).map((code: ResultCode) => [code.number, code]),
);

/** The result code with a number from the wire; undefined for one this version does not know. */
export function codeByNumber(number: unknown): ResultCode | undefined {
    return byNumber.get(number);
}
