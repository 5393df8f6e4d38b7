import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";

const invalidAnswerCodes: ReadonlySet<ResultCode> = new Set([
    resultCodes.answerMalformed,
    resultCodes.answerMixed,
    resultCodes.answerTooLong,
]);

/** Whether an attempt ended with bytes in place of an answer: its sampler has not crashed, and the content is not at fault. */
export const isInvalidAnswer = (code: ResultCode): boolean => invalidAnswerCodes.has(code);
