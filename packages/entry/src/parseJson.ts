import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";

/** Parses a JSON body; throws code `badRequest` with the position of the syntax error. */
export function parseJson(body: Uint8Array): unknown {
    try {
        return JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(body));
    }
    catch (error) {
        throw new ResultError(resultCodes.badRequest, `body is not JSON: ${(error as Error).message}`);
    }
}
