import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import type { OwnerStatus } from "./OwnerStatus.js";

/** Owner of one job under one fencing number. All calls reject with a `ResultError`. */
export interface Owner {
    /** Resolves once the step is durable. Opening the same content again changes nothing. */
    openStep(spec: StepSpec): Promise<void>;
    /** Resolves once the version is durable; the weights are then rolled over the samplers. */
    publishWeights(weights: PublishedWeights): Promise<void>;
    /** Long poll: the groups ready beyond `cursor` (undefined to start), or an empty page after `waitMs`. */
    readGroups(step: StepNumber, cursor: string | undefined, waitMs: number): Promise<GroupsPage>;
    /** The manifest changed; takes effect for samples not yet running. */
    updateJob(job: JobManifest): void;
    status(): OwnerStatus;
    /** Aborted once this owner has ended for good, by `stop` or because a newer owner showed itself: drop it then. */
    ended?: AbortSignal;
    /** Graceful: checkpoints, stops the dispatcher. The lease is released by the caller. */
    stop(): Promise<void>;
}
