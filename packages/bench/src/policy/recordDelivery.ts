import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { JobMeasures } from "./JobMeasures.js";

interface Delivery {
    published: number;
    /** Publication time by version. */
    publishedAtMs: number[];
    nowMs: number;
    /** Staleness bound of the job in versions. */
    bound: number;
}

/** Adds a delivered sample to the measures of its job. */
export function recordDelivery(measures: JobMeasures, made: GeneratedSample, delivery: Delivery): void {
    const { spans } = made.answer;
    const oldest = Math.min(...spans.map(span => span.version));
    const staleness = delivery.published - oldest;
    const supersededAtMs = delivery.publishedAtMs[oldest + 1];
    measures.stalenessVersions.push(staleness);
    measures.stalenessMs.push(supersededAtMs === undefined ? 0 : delivery.nowMs - supersededAtMs);
    measures.overBound += staleness > delivery.bound ? 1 : 0;
    measures.delivered++;
    measures.deliveredTokens.push(spans.reduce((sum, span) => sum + span.tokens, 0));
}
