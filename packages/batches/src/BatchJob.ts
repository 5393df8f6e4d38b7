import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobItem } from "./BatchJobItem.js";

/** A batch job as it was submitted. */
export interface BatchJob {
    lot: BatchJobId;
    /** Whose job it is; undefined where it was accepted without a key. */
    team: TeamId | undefined;
    host: string;
    path: string;
    step: StepNumber;
    /** Undefined where any weights will do. */
    policy: PolicyId | undefined;
    /** Oldest version that may generate its tokens. */
    minVersion: WeightVersion;
    /** Whole groups that the trainer waits for, whichever they are; undefined where it names no number. */
    neededGroups: number | undefined;
    items: BatchJobItem[];
}
