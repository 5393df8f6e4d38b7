import type { UsageCounter } from "@auburnarch/types/UsageCounter";
import { usageKey } from "./usageKey.js";

/**
 * Merges reports by the maximum of each counter, keyed by sampler, incarnation, team and job. Repeated, late and
 * disordered reports change nothing: adding them up instead would charge a team twice for one report.
 */
export function mergeUsage(...reports: Iterable<UsageCounter>[]): UsageCounter[] {
    const merged = new Map<string, UsageCounter>();
    for (const report of reports) {
        for (const counter of report) {
            const key = usageKey(counter);
            const present = merged.get(key);
            merged.set(key, present === undefined ? { ...counter } : maximum(present, counter));
        }
    }
    return [...merged.values()];
}

function maximum(a: UsageCounter, b: UsageCounter): UsageCounter {
    return {
        ...a,
        engineMs: Math.max(a.engineMs, b.engineMs),
        tokens: Math.max(a.tokens, b.tokens),
        requests: Math.max(a.requests, b.requests),
    };
}
