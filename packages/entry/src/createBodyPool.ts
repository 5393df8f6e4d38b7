import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { BodyBudget } from "./BodyBudget.js";

const retryAfterMs = 1_000;

/**
 * Bounds the memory that the bodies of all requests in flight take together. Each body has its own bound, but a few
 * hundred large ones at once would end the process; they would be noticed only by its death.
 */
export function createBodyPool(maxBytes: number): () => BodyBudget {
    let heldBytes = 0;
    return () => {
        let ownBytes = 0;
        return {
            take: bodyBytes => {
                if (heldBytes + bodyBytes > maxBytes) {
                    throw new ResultError(resultCodes.overloaded, "request bodies in flight", retryAfterMs);
                }
                heldBytes += bodyBytes;
                ownBytes += bodyBytes;
            },
            release: () => {
                heldBytes -= ownBytes;
                ownBytes = 0;
            },
        };
    };
}
