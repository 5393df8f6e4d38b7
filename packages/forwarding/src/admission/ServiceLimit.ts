import type { IncarnationId } from "@auburnarch/types/IncarnationId";

/** Limit of requests in flight from one gateway to one service. */
export interface ServiceLimit {
    /** Infinite while neither rejections nor late answers indicate a lack of capacity. */
    current(): number;
    /**
     * Records that no request is in flight. The limit otherwise changes only with attempts that end, so one of a past
     * shortage would still apply to the first burst after an idle time.
     */
    recordIdle(): void;
    /** Records that a request found the limit reached. */
    recordReached(): void;
    /** Records that a sampler rejected an attempt as full. */
    recordFull(inFlight: number): void;
    /** Records the latency of an answer, or the time for which an attempt that was given up had no answer. */
    recordLatency(sampler: IncarnationId, tookMs: number, targetMs: number, inFlight: number): void;
}
