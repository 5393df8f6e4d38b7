/** A trial is available from its due time on; see `trialDueAtMs`. */
export function isTrialDue(dueAtMs: number, nowMs: number): boolean {
    return nowMs >= dueAtMs;
}
