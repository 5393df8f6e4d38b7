import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { StringDecoder } from "node:string_decoder";

const lineFeed = "\n";

/**
 * Makes a function that takes bytes and passes on whole lines. Throws a `ResultError` of code `bodyTooLarge` once
 * a line grows beyond `maxLineChars`, so that an endless line cannot fill the memory.
 */
export function createLineReader(
    maxLineChars: number,
    onLine: (line: string) => void,
): (chunk: Uint8Array) => void {
    const decoder = new StringDecoder("utf8");
    let rest = "";
    return chunk => {
        const lines = (rest + decoder.write(Buffer.from(chunk))).split(lineFeed);
        rest = lines.pop() ?? "";
        if (rest.length > maxLineChars) {
            throw new ResultError(resultCodes.bodyTooLarge, `a line of more than ${maxLineChars} characters`);
        }
        lines.filter(line => line !== "").forEach(onLine);
    };
}
