import type { Team } from "./Team.js";

/** The caller of a request: a team identified by its key, or anonymous where no key is required. */
export type Caller = { kind: "team"; team: Team; } | { kind: "anonymous"; };
