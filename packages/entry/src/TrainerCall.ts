import type { JobId } from "@auburnarch/types/JobId";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { StepSpec } from "@auburnarch/types/StepSpec";

/** A call from a trainer to the owner of its job. */
export type TrainerCall =
    | { kind: "openStep"; job: JobId; spec: StepSpec; }
    | { kind: "publishWeights"; job: JobId; weights: PublishedWeights; }
    | { kind: "readGroups"; job: JobId; step: StepNumber; cursor: string | undefined; waitMs: number; }
    | { kind: "status"; job: JobId; };
