/** A trial may be had from the time on at which it is due; see `trialDueAtMs`. */
export function isTrialDue(dueAtMs: number, nowMs: number): boolean {
    return nowMs >= dueAtMs;
}
