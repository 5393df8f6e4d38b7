import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { averageOfLatest } from "./averageOfLatest.js";

/** Items of one of a policy's latest jobs, on average; undefined while none is known. */
export const jobItemsOf = (entries: readonly BatchJobEntry[], policy: PolicyId): number | undefined =>
    averageOfLatest(entries, policy, lot => lot.total);
