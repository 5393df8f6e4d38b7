import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { StepSpec } from "@auburnarch/types/StepSpec";

/** What a trainer calls for its job: an owner in process, or a client of an entry. */
export interface TrainerPort {
    openStep(spec: StepSpec): Promise<void>;
    publishWeights(weights: PublishedWeights): Promise<void>;
    readGroups(step: StepNumber, cursor: string | undefined, waitMs: number): Promise<GroupsPage>;
}
