import type { Team } from "./Team.js";

/** Who calls: a team by its key, or nobody that is known, where none has to be. */
export type Caller = { kind: "team"; team: Team; } | { kind: "anonymous"; };
