import type { Brand } from "./Brand.js";

/** Identifies one trial: a single run that a quarantined content is allowed. */
export type TrialId = Brand<string, "TrialId">;
