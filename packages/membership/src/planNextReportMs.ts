interface ReportTiming {
    nowMs: number;
    /** When reports to the other entries chosen are planned. */
    plannedMs: number[];
    /** Entries chosen, the one in question among them. */
    targets: number;
    /** What the entry asked for. */
    intervalMs: number;
    /** Where in the interval this sidecar's second report lies, 0 to 1, so that not all report at the same time. */
    phase: number;
}

/**
 * When to report to an entry next: a part of the interval behind the last report planned. The reports to the entries
 * chosen are so spread evenly, and a new document comes that much sooner than at the end of an interval.
 */
export function planNextReportMs(timing: ReportTiming): number {
    const { nowMs, plannedMs, targets, intervalMs, phase } = timing;
    const lastMs = Math.max(...plannedMs, 0);
    const wantedMs = lastMs > nowMs ? lastMs + intervalMs / targets : nowMs + intervalMs * (0.5 + phase);
    return Math.min(nowMs + 1.5 * intervalMs, Math.max(nowMs + 0.5 * intervalMs, wantedMs));
}
