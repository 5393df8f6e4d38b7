import type { LotEntry } from "@auburnarch/lots/LotEntry";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { averageOfLatest } from "./averageOfLatest.js";

/** Output tokens of one of a policy's latest jobs, on average; undefined while none that says is known. */
export const jobTokensOf = (lots: readonly LotEntry[], policy: PolicyId): number | undefined =>
    averageOfLatest(lots, policy, lot => lot.expectedTokens);
