import type { TeamId } from "@auburnarch/types/TeamId";
import type { UsageCounter } from "@auburnarch/types/UsageCounter";
import type { JobUsage } from "./JobUsage.js";
import type { TeamUsage } from "./TeamUsage.js";

/**
 * Sums merged counters (see `mergeUsage`) into one row per team, sorted by name. The sidecars' total is the engine time
 * used; delivered and discarded time come from the owners, and overhead is the rest. While a sidecar's last report is
 * outstanding, owners may have recorded more time than the sidecar has reported; the overhead is then 0 rather than
 * negative.
 */
export function summarizeUsage(counters: Iterable<UsageCounter>, jobs: Iterable<JobUsage>): TeamUsage[] {
    const rows = new Map<TeamId, TeamUsage>();
    const jobTotalsMs = new Map<TeamId, number>();
    for (const counter of counters) {
        const row = rowOf(rows, counter.team);
        row.tokens += counter.tokens;
        row.requests += counter.requests;
        if (counter.job === undefined) {
            row.deliveredEngineMs += counter.engineMs;
        }
        else {
            jobTotalsMs.set(counter.team, (jobTotalsMs.get(counter.team) ?? 0) + counter.engineMs);
        }
    }
    const reportedByOwnersMs = new Map<TeamId, number>();
    for (const job of jobs) {
        const row = rowOf(rows, job.team);
        row.deliveredEngineMs += job.deliveredEngineMs;
        row.discardedEngineMs += job.discardedEngineMs;
        const reportedMs = job.deliveredEngineMs + job.discardedEngineMs;
        reportedByOwnersMs.set(job.team, (reportedByOwnersMs.get(job.team) ?? 0) + reportedMs);
    }
    for (const row of rows.values()) {
        const unreportedMs = (jobTotalsMs.get(row.team) ?? 0) - (reportedByOwnersMs.get(row.team) ?? 0);
        row.overheadEngineMs = Math.max(0, unreportedMs);
    }
    return [...rows.values()].sort((a, b) => (a.team < b.team ? -1 : 1));
}

function rowOf(rows: Map<TeamId, TeamUsage>, team: TeamId): TeamUsage {
    const present = rows.get(team);
    if (present !== undefined) {
        return present;
    }
    const fresh: TeamUsage = {
        team,
        deliveredEngineMs: 0,
        discardedEngineMs: 0,
        overheadEngineMs: 0,
        tokens: 0,
        requests: 0,
    };
    rows.set(team, fresh);
    return fresh;
}
