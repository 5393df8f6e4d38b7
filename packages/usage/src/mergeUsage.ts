import type { UsageCounter } from "@auburnarch/types/UsageCounter";
import { mergeByMaximum } from "./mergeByMaximum.js";
import { usageKey } from "./usageKey.js";

/** Merges the reports of sidecars, keyed by sampler, incarnation, team and job. */
export function mergeUsage(...reports: Iterable<UsageCounter>[]): UsageCounter[] {
    return mergeByMaximum(usageKey, maximum, ...reports);
}

function maximum(a: UsageCounter, b: UsageCounter): UsageCounter {
    return {
        ...a,
        engineMs: Math.max(a.engineMs, b.engineMs),
        tokens: Math.max(a.tokens, b.tokens),
        requests: Math.max(a.requests, b.requests),
    };
}
