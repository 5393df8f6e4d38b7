import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ClientRequest } from "./ClientRequest.js";

/** Returns the id that the client has sent; throws `badRequest` if there is none. */
export function requireRequestId({ requestId }: ClientRequest): string {
    if (requestId === undefined) {
        throw new ResultError(resultCodes.badRequest, "request id missing");
    }
    return requestId;
}
