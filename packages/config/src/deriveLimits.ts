import type { LimitsManifest } from "@auburnarch/types/LimitsManifest";

const queuedPerSampler = 64;
const minQueuedPerTeam = 256;

/** Fills in the limits that a manifest omits. The default queue limit grows with the number of samplers. */
export function deriveLimits(given: Partial<LimitsManifest>, samplers: number): LimitsManifest {
    return {
        maxBodyBytes: given.maxBodyBytes ?? 1_048_576,
        maxQueuedPerTeam: given.maxQueuedPerTeam ?? Math.max(minQueuedPerTeam, samplers * queuedPerSampler),
        defaultDeadlineMs: given.defaultDeadlineMs ?? 30_000,
        retryBudgetRatio: given.retryBudgetRatio ?? 0.1,
        maxSwappingRatio: given.maxSwappingRatio ?? 0.25,
        interactiveWaitMs: given.interactiveWaitMs ?? 200,
    };
}
