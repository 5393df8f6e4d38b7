import { createFairQueue } from "@auburnarch/queue/createFairQueue";
import { compareWaiting } from "./compareWaiting.js";
import type { WaitingRequest } from "./WaitingRequest.js";

/**
 * One in four slots goes to requests that were refused before or have waited for half of their time, so that none
 * starves; the higher priorities keep three quarters.
 */
const startsPerAgedStart = 4;

/**
 * Creates the queue of one service. Load addressed: a team that sends far more than the others. Teams get equal shares of
 * the slots' time whatever they send, and higher priorities go first.
 */
export function createAdmissionQueue(
    nowMs: () => number,
    holdMs: () => number,
): ReturnType<typeof createFairQueue<WaitingRequest>> {
    return createFairQueue<WaitingRequest>({
        share: () => 1,
        nowMs,
        classOf: ({ priority }) => priority,
        compareWithinTeam: compareWaiting,
        runningCreditMs: holdMs,
        aging: {
            isAged: ({ refusedAtMs, queuedAtMs, maxWaitMs }) =>
                refusedAtMs !== undefined || nowMs() - queuedAtMs >= maxWaitMs / 2,
            everyStarts: startsPerAgedStart,
        },
    });
}
