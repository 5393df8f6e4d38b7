import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { ClaimedState } from "./ClaimedState.js";
import type { JobState } from "./JobState.js";

/** Creates a job's state from its durable state; the caller adds the steps. */
export function createJobState(job: JobManifest, claimed: ClaimedState): JobState {
    const { checkpoint, weights } = claimed;
    const state: JobState = {
        job,
        publishedVersion: weights?.version ?? 0 as WeightVersion,
        steps: new Map(),
        completed: new Map(checkpoint.completed.map(({ step, digest }) => [step, digest])),
        retiredBelow: checkpoint.retiredBelow,
        completedEngineMs: checkpoint.deliveredEngineMs,
        completedSamples: checkpoint.deliveredSamples,
        completedTokens: checkpoint.deliveredTokens,
        discardedEngineMs: checkpoint.discardedEngineMs,
        bounds: () => ({
            publishedVersion: state.publishedVersion,
            minVersion: Math.max(0, state.publishedVersion - state.job.maxStalenessVersions) as WeightVersion,
        }),
    };
    return state;
}
