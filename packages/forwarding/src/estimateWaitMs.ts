import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { SamplerRecord } from "./SamplerRecord.js";

/** Assumed until a sampler has answered; about a plain service's mean time. */
const assumedLatencyMs = 40;
/** What a sampler in another failure domain has to be faster by; its bytes are charged and the way there is longer. */
const otherDomainMs = 20;
/** A sampler that failed is last choice for this long, so that a dead one costs one request a second at most. */
const failureMemoryMs = 1_000;
const failurePenaltyMs = 1_000;

/**
 * Expected time of one more request at a sampler. Requests that have been out for longer than the sampler usually
 * takes count with their age: one that has gone dark answers nothing that could be counted as a failure.
 */
export function estimateWaitMs(
    sampler: KnownSampler,
    record: SamplerRecord,
    ownDomain: FailureDomain,
    nowMs: number,
): number {
    const latencyMs = record.latencyMs ?? assumedLatencyMs;
    const loadFactor = 1 + record.sentAtMs.size / Math.max(1, sampler.maxBatch);
    let oldestMs = 0;
    for (const sentAtMs of record.sentAtMs) {
        oldestMs = Math.max(oldestMs, nowMs - sentAtMs);
    }
    const overdueMs = Math.max(0, oldestMs - 3 * latencyMs);
    const domainMs = sampler.failureDomain === ownDomain ? 0 : otherDomainMs;
    const failedMs = nowMs - record.failedAtMs < failureMemoryMs ? failurePenaltyMs : 0;
    return latencyMs * loadFactor + overdueMs + domainMs + failedMs;
}
