interface ReportTiming {
    nowMs: number;
    /** Times of the planned reports to the other chosen entries. */
    plannedMs: number[];
    /** Number of chosen entries, including this one. */
    targets: number;
    /** Interval that the entry asked for. */
    intervalMs: number;
    /** Phase of this sidecar's second report, 0 to 1, so that sidecars do not report in unison. */
    phase: number;
}

/**
 * Time of the next report to an entry: a fraction of the interval after the last planned report. This spaces the
 * reports to the chosen entries evenly, so a new document arrives sooner than after a whole interval.
 */
export function planNextReportMs(timing: ReportTiming): number {
    const { nowMs, plannedMs, targets, intervalMs, phase } = timing;
    const lastMs = Math.max(...plannedMs, 0);
    const wantedMs = lastMs > nowMs ? lastMs + intervalMs / targets : nowMs + intervalMs * (0.5 + phase);
    return Math.min(nowMs + 1.5 * intervalMs, Math.max(nowMs + 0.5 * intervalMs, wantedMs));
}
