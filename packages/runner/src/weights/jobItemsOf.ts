import type { LotEntry } from "@auburnarch/lots/LotEntry";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { averageOfLatest } from "./averageOfLatest.js";

/** Items of one of a policy's latest jobs, on average; undefined while none is known. */
export const jobItemsOf = (lots: readonly LotEntry[], policy: PolicyId): number | undefined =>
    averageOfLatest(lots, policy, lot => lot.total);
