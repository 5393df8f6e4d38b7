import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { AttemptState } from "@auburnarch/types/AttemptState";
import type { Clock } from "@auburnarch/types/Clock";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { defaultSendGuards } from "./defaultSendGuards.js";
import type { SendGuards } from "./SendGuards.js";

interface BrokenAttempt {
    attempt: AttemptId;
    /** Incarnation that the attempt was sent to; undefined if it was not known at that time. */
    sentTo: IncarnationId | undefined;
    sentAtMs: number;
    clock: Clock;
    /** `queryAttempt` of the same sidecar; may reject. */
    query: (attempt: AttemptId) => Promise<AttemptState>;
    /** Code used if the outcome remains unknown. */
    code?: ResultCode;
    guards?: SendGuards;
}

const maxQueries = 3;
const queryPauseMs = 150;

/**
 * Queries the sidecar for the state of an attempt whose connection broke. Only `neverSeen` (the query then leaves a
 * tombstone in the sidecar) and `refused` prove that it did not run, and only if they come from the incarnation that
 * the attempt was sent to, while that still has a record of it.
 */
export async function resolveBrokenAttempt(broken: BrokenAttempt): Promise<AttemptOutcome<never>> {
    const guards = broken.guards ?? defaultSendGuards;
    const code = broken.code ?? resultCodes.connectionBroken;
    const state = await queryWithRetries(broken);
    if (state === undefined) {
        return { kind: "unknown", code };
    }
    if (!guards.sameIncarnation(broken.sentTo, state.incarnation)) {
        return { kind: "unknown", code: resultCodes.incarnationChanged };
    }
    const ageMs = broken.clock.monotonicMs() - broken.sentAtMs;
    const provesNotRun = state.state === "neverSeen" || state.state === "refused";
    if (!provesNotRun || !guards.withinMemory(ageMs)) {
        return { kind: "unknown", code };
    }
    return { kind: "notRun", code: resultCodes.connectFailed, retryAfterMs: undefined };
}

async function queryWithRetries(broken: BrokenAttempt): Promise<AttemptState | undefined> {
    for (let queries = 1; queries <= maxQueries; queries++) {
        const state = await broken.query(broken.attempt).catch(() => undefined);
        if (state !== undefined) {
            return state;
        }
        if (queries < maxQueries) {
            await broken.clock.sleep(queryPauseMs);
        }
    }
    return undefined;
}
