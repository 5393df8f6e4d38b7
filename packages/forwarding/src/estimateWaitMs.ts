import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { SamplerRecord } from "./SamplerRecord.js";

/** Assumed until a sampler has answered; about the mean latency of a plain service. */
const assumedLatencyMs = 40;
/** Penalty for a sampler in another failure domain: its traffic is charged and its network path is longer. */
const otherDomainMs = 20;
/** A failed sampler is the last choice for this long, so that a crashed one costs at most one request a second. */
const failureMemoryMs = 1_000;
const failurePenaltyMs = 1_000;

/**
 * Expected time of one more request at a sampler. Requests in flight for longer than the sampler usually takes count
 * with their age: an unresponsive sampler sends nothing that could be counted as a failure.
 */
export function estimateWaitMs(
    sampler: RegisteredSampler,
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
