import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { averageOfLatest } from "./averageOfLatest.js";

/**
 * Average of the expected output tokens of a policy's latest batch jobs; undefined if none that states them is known.
 */
export const jobTokensOf = (entries: readonly BatchJobEntry[], policy: PolicyId): number | undefined =>
    averageOfLatest(entries, policy, entry => entry.expectedTokens);
