import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobItem } from "./BatchJobItem.js";

/** A batch job as it was submitted. */
export interface BatchJob {
    lot: BatchJobId;
    /** Team that submitted it; undefined if it was accepted without an API key. */
    team: TeamId | undefined;
    host: string;
    path: string;
    step: StepNumber;
    /** Undefined if any weights may be used. */
    policy: PolicyId | undefined;
    /** Oldest weight version that may generate its tokens. */
    minVersion: WeightVersion;
    /**
     * Number of complete groups that the trainer waits for, in any selection; undefined if the trainer states none.
     */
    neededGroups: number | undefined;
    items: BatchJobItem[];
}
