import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { StepSpec } from "@auburnarch/types/StepSpec";

/** A trainer's connection to its job's owner. Every answer carries the owner's fencing number. */
export interface TrainerConnection {
    openStep(spec: StepSpec): Promise<{ fencing: number; }>;
    publishWeights(weights: PublishedWeights): Promise<{ fencing: number; }>;
    readGroups(step: StepNumber, cursor: string | undefined, waitMs: number): Promise<GroupsPage>;
}
