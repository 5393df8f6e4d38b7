import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { BodyBudget } from "./BodyBudget.js";

const retryAfterMs = 1_000;

/**
 * Limits the memory used by the bodies of all requests in flight, in total and for each owner of requests. Each body
 * has its own limit, but a few hundred large bodies at once would exhaust the memory of the process.
 */
export function createBodyPool(maxBytes: number, maxOwnerBytes: number): (owner: string) => BodyBudget {
    const bytesByOwner = new Map<string, number>();
    let totalBytes = 0;

    function adjust(owner: string, bodyBytes: number): void {
        const nextBytes = (bytesByOwner.get(owner) ?? 0) + bodyBytes;
        totalBytes += bodyBytes;
        if (nextBytes === 0) {
            bytesByOwner.delete(owner);
        }
        else {
            bytesByOwner.set(owner, nextBytes);
        }
    }

    return owner => {
        let reservedBytes = 0;
        return {
            reserve: bodyBytes => {
                const ownerBytes = (bytesByOwner.get(owner) ?? 0) + bodyBytes;
                if (totalBytes + bodyBytes > maxBytes || ownerBytes > maxOwnerBytes) {
                    throw new ResultError(resultCodes.overloaded, "request bodies in flight", retryAfterMs);
                }
                adjust(owner, bodyBytes);
                reservedBytes += bodyBytes;
            },
            release: () => {
                adjust(owner, -reservedBytes);
                reservedBytes = 0;
            },
        };
    };
}
