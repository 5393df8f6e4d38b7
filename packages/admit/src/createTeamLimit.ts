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
    enter(team: TeamId): () => void;
    /** Places taken by a team now. */
    taken(team: TeamId): number;
}

const defaultRetryAfterMs = 1_000;

/** Bounds what one team may have waiting, so that its backlog fills neither memory nor the others' way in. */
export function createTeamLimit(deps: TeamLimitDeps): TeamLimit {
    const { maxPerTeam, retryAfterMs = defaultRetryAfterMs } = deps;
    const places = new Map<TeamId, number>();
    const taken = (team: TeamId): number => places.get(team) ?? 0;

    function leave(team: TeamId): void {
        const left = taken(team) - 1;
        if (left === 0) {
            places.delete(team);
        }
        else {
            places.set(team, left);
        }
    }

    return {
        enter: team => {
            if (taken(team) >= maxPerTeam()) {
                throw new ResultError(resultCodes.queueFull, team, retryAfterMs);
            }
            places.set(team, taken(team) + 1);
            let inside = true;
            return () => {
                if (inside) {
                    inside = false;
                    leave(team);
                }
            };
        },
        taken,
    };
}
