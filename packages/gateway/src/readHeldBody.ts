import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { BodyHold } from "@auburnarch/overload/BodyHold";
import type { Clock } from "@auburnarch/types/Clock";
import type { ClientRequest } from "./ClientRequest.js";

interface HeldBodyRead {
    request: Pick<ClientRequest, "readBody">;
    maxBodyBytes: number;
    /** Counts the memory of the body. */
    hold: BodyHold;
    /** Time within which the body has to arrive. */
    limitMs: number;
    clock: Clock;
    signal: AbortSignal;
}

/**
 * Reads a body whose memory is counted, within a time limit. Rejects with `bodiesFull` if the body does not fit, with
 * `deadlinePassed` after the limit, and with `connectionBroken` if the client disconnects.
 */
export async function readHeldBody(
    { request, maxBodyBytes, hold, limitMs, clock, signal }: HeldBodyRead,
): Promise<Uint8Array> {
    return new Promise((resolve, reject) => {
        const onAbort = (): void => fail(new ResultError(resultCodes.connectionBroken, "the client left"));
        const onTimeLimit = (): void =>
            fail(new ResultError(resultCodes.deadlinePassed, "the body did not arrive in time"));
        const cancelTimeout = clock.startTimer(limitMs, onTimeLimit);
        const stop = (): void => {
            cancelTimeout();
            signal.removeEventListener("abort", onAbort);
        };
        function fail(error: unknown): void {
            stop();
            reject(error);
        }
        signal.addEventListener("abort", onAbort, { once: true });
        request.readBody(maxBodyBytes, hold).then(body => {
            stop();
            resolve(body);
        }, fail);
    });
}
