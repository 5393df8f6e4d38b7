import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { averageOfLatest } from "./averageOfLatest.js";

/** Output tokens of one of a policy's latest jobs, on average; undefined while none that says is known. */
export const jobTokensOf = (entries: readonly BatchJobEntry[], policy: PolicyId): number | undefined =>
    averageOfLatest(entries, policy, lot => lot.expectedTokens);
