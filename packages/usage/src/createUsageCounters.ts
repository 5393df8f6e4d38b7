import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { UsageCounter } from "@auburnarch/types/UsageCounter";
import type { UsageCounters } from "./UsageCounters.js";

/** Creates the counters of one incarnation, all zero. Negative amounts count as 0, so that no counter decreases. */
export function createUsageCounters(sampler: SamplerId, incarnation: IncarnationId): UsageCounters {
    const counters = new Map<string, UsageCounter>();

    function counterOf(team: UsageCounter["team"], job: UsageCounter["job"]): UsageCounter {
        const key = `${team} ${job ?? ""}`;
        const present = counters.get(key);
        if (present !== undefined) {
            return present;
        }
        const fresh: UsageCounter = { sampler, incarnation, team, job, engineMs: 0, tokens: 0, requests: 0 };
        counters.set(key, fresh);
        return fresh;
    }

    return {
        add: use => {
            const counter = counterOf(use.team, use.job);
            counter.engineMs += Math.max(0, use.engineMs);
            counter.tokens += Math.max(0, use.tokens);
            counter.requests++;
        },
        read: () => [...counters.values()].map(counter => ({ ...counter })),
    };
}
