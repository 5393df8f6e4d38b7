import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { StringDecoder } from "node:string_decoder";

const lineFeed = "\n";

/**
 * Creates a function that splits chunks of bytes into lines and passes each complete, non-empty line to `onLine`.
 * Throws a `ResultError` with code `bodyTooLarge` once a line exceeds `maxLineChars`, so that an endless line cannot
 * exhaust memory.
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
            throw new ResultError(resultCodes.bodyTooLarge, `line exceeds ${maxLineChars} characters`);
        }
        lines.filter(line => line !== "").forEach(onLine);
    };
}
