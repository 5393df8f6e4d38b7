import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { StepSpec } from "@auburnarch/types/StepSpec";

/** Interface that a trainer calls for its job, implemented by an owner in process or by a client of an entry. */
export interface TrainerPort {
    openStep(spec: StepSpec): Promise<void>;
    publishWeights(weights: PublishedWeights): Promise<void>;
    readGroups(step: StepNumber, cursor: string | undefined, waitMs: number): Promise<GroupsPage>;
}
