import type { TeamId } from "./TeamId.js";

/** Usage of one team. Teams are charged for `delivered` and `discarded`, not for `overhead`. */
export interface OperatorTeamUsage {
    team: TeamId;
    samples: number;
    deliveredEngineMs: number;
    deliveredTokens: number;
    discardedEngineMs: number;
    overheadEngineMs: number;
    /** Interactive and plain requests. */
    interactiveEngineMs: number;
    interactiveRequests: number;
}
