import type { Brand } from "./Brand.js";

/** Names one run that a refused content was allowed. */
export type TrialId = Brand<string, "TrialId">;
