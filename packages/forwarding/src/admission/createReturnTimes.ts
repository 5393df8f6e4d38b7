import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";

interface ReturnEstimate {
    team: string;
    expectedWaitMs: number;
    /** Mean time between two releases of a slot. */
    intervalMs: number;
    /** Time that the caller has left. */
    leftMs: number;
}

/** Callers do not honour a longer Retry-After. */
const maxShareOfLeft = 1 / 3;

/**
 * Creates the Retry-After of the callers that one service refuses. Load addressed: callers that were refused together
 * and would return together. The times of a team's callers are as far apart as slots are released for it, if all teams
 * with callers to return get equal shares; a large team therefore does not delay the return of others. Where a time
 * exceeds what its caller honours, it is drawn from the later half of the permitted time.
 */
export function createReturnTimes(
    clock: Pick<Clock, "monotonicMs">,
    random: Random,
): (estimate: ReturnEstimate) => number {
    const lastReturnsAtMs = new Map<string, number>();

    function dropPast(nowMs: number): void {
        for (const [team, returnAtMs] of lastReturnsAtMs) {
            if (returnAtMs < nowMs) {
                lastReturnsAtMs.delete(team);
            }
        }
    }

    return ({ team, expectedWaitMs, intervalMs, leftMs }) => {
        const nowMs = clock.monotonicMs();
        dropPast(nowMs);
        const maxDelayMs = Math.max(0, leftMs * maxShareOfLeft);
        const lastAtMs = lastReturnsAtMs.get(team);
        const teams = lastReturnsAtMs.size + Number(lastAtMs === undefined);
        const spacingMs = intervalMs * teams;
        const returnAtMs = Math.max(nowMs + expectedWaitMs, (lastAtMs ?? nowMs) + spacingMs);
        const delayMs = returnAtMs - nowMs + random.nextUnit() * spacingMs;
        if (delayMs <= maxDelayMs) {
            lastReturnsAtMs.set(team, returnAtMs);
            return Math.floor(delayMs);
        }
        return Math.floor(maxDelayMs * (1 + random.nextUnit()) / 2);
    };
}
