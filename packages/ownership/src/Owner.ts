import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import type { OwnerStatus } from "./OwnerStatus.js";

/** The owner of one job under one fencing number. Calls reject with a `ResultError`. */
export interface Owner {
    /** Resolves once the step is durable. Opening a step again with the same content has no effect. */
    openStep(spec: StepSpec): Promise<void>;
    /** Resolves once the version is durable; the samplers are then swapped to it one after another. */
    publishWeights(weights: PublishedWeights): Promise<void>;
    /** Long poll: ready groups that `cursor` (undefined at first) doesn't cover, or an empty page after `waitMs`. */
    readGroups(step: StepNumber, cursor: string | undefined, waitMs: number): Promise<GroupsPage>;
    /** Applies a changed manifest to samples that are not running yet. */
    updateJob(job: JobManifest): void;
    status(): OwnerStatus;
    /** Aborted once this owner has stopped for good, by `stop` or on detecting a newer owner; discard it then. */
    ended?: AbortSignal;
    /** Graceful stop: writes the checkpoint and stops the dispatcher. The caller releases the lease. */
    stop(): Promise<void>;
}
