import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { averageOfLatest } from "./averageOfLatest.js";

/** Average number of items of a policy's latest batch jobs; undefined if none is known. */
export const jobItemsOf = (entries: readonly BatchJobEntry[], policy: PolicyId): number | undefined =>
    averageOfLatest(entries, policy, entry => entry.total);
