import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { Candidate } from "../Candidate.js";

/** Creates a ready candidate that serves `plume@3` with room for eight attempts, modified by the arguments. */
export function createTestCandidate(
    sampler: string,
    changes: Partial<Candidate> = {},
    report: Partial<Record<keyof SamplerReport, unknown>> = {},
): Candidate {
    const whole = {
        sampler,
        state: "ready",
        served: [{ policy: "plume", version: 3 }],
        running: 0,
        waiting: 0,
        limit: 8,
        tokensPerSecond: 100,
        maxBatch: 8,
        suspects: [],
        ...report,
    } as unknown as SamplerReport;
    return {
        view: {
            report: whole,
            reportAgeMs: 0,
            sentAttempts: 0,
            sentTokens: 0,
            sentSinceReport: 0,
            suspected: false,
        },
        outstanding: 0,
        outstandingTokens: 0,
        sentSinceReport: 0,
        room: 8,
        reserved: 0,
        cachedPromptTokens: 0,
        observedTokensPerSecond: undefined,
        aboutToSwap: false,
        lastSentOrder: 0,
        ...changes,
    };
}
