import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { TeamId } from "@auburnarch/types/TeamId";

interface TeamLimitDeps {
    /** Maximum of concurrent requests of one team at this entry; read on each request. */
    maxPerTeam: () => number;
    retryAfterMs?: number;
}

interface TeamLimit {
    /** Acquires a slot and returns the function that releases it; throws `queueFull` before anything runs. */
    acquire(team: TeamId): () => void;
    /** Slots that a team currently uses. */
    inUse(team: TeamId): number;
}

const defaultRetryAfterMs = 1_000;

/** Limits the concurrent requests of each team, so that one team's backlog exhausts neither memory nor admission. */
export function createTeamLimit(deps: TeamLimitDeps): TeamLimit {
    const { maxPerTeam, retryAfterMs = defaultRetryAfterMs } = deps;
    const slots = new Map<TeamId, number>();
    const inUse = (team: TeamId): number => slots.get(team) ?? 0;

    function release(team: TeamId): void {
        const remaining = inUse(team) - 1;
        if (remaining === 0) {
            slots.delete(team);
        }
        else {
            slots.set(team, remaining);
        }
    }

    return {
        acquire: team => {
            if (inUse(team) >= maxPerTeam()) {
                throw new ResultError(resultCodes.queueFull, team, retryAfterMs);
            }
            slots.set(team, inUse(team) + 1);
            let isHeld = true;
            return () => {
                if (isHeld) {
                    isHeld = false;
                    release(team);
                }
            };
        },
        inUse,
    };
}
