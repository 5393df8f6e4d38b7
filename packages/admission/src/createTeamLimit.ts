import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { TeamId } from "@auburnarch/types/TeamId";

interface TeamLimitDeps {
    /** Requests of one team that may be under way at this entry at once; read at each request. */
    maxPerTeam: () => number;
    retryAfterMs?: number;
}

interface TeamLimit {
    /** Takes a place and gives the function that frees it; throws `queueFull`, and then nothing ran. */
    acquire(team: TeamId): () => void;
    /** Places taken by a team now. */
    inUse(team: TeamId): number;
}

const defaultRetryAfterMs = 1_000;

/** Bounds what one team may have waiting, so that its backlog fills neither memory nor the others' way in. */
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
