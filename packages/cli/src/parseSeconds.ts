import { resultCodes } from "@auburnarch/errors/resultCodes";
import { OperatorFailure } from "./OperatorFailure.js";

const maxSeconds = 86_400;

/** Converts the value of a flag from seconds to milliseconds; throws an `OperatorFailure` if it is out of range. */
export function parseSeconds(flag: string, text: string): number {
    const seconds = Number(text);
    if (text.trim() === "" || !(seconds >= 0 && seconds <= maxSeconds)) {
        const { number, name } = resultCodes.badRequest;
        throw new OperatorFailure({
            code: number,
            name,
            message: `${flag} is not a number of seconds from 0 to ${maxSeconds}.`,
            action: `Write ${flag} 60.`,
        });
    }
    return seconds * 1_000;
}
