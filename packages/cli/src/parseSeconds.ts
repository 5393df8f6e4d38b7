import { resultCodes } from "@auburnarch/errors/resultCodes";
import { OperatorFailure } from "./OperatorFailure.js";

const maxSeconds = 86_400;

/** Milliseconds of a flag given in seconds. Throws an `OperatorFailure` where it is no number in range. */
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
