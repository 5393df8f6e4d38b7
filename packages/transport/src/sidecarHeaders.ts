/** Headers used between processes of this system; all others are forwarded unchanged. */
export const sidecarHeaders = {
    attempt: "x-auburnarch-attempt",
    service: "x-auburnarch-service",
    team: "x-auburnarch-team",
    budgetMs: "x-auburnarch-budget-ms",
    idempotent: "x-auburnarch-idempotent",
    digest: "x-auburnarch-digest",
    /** `1` for the trial run of a quarantined content. */
    trial: "x-auburnarch-trial",
    /** `ran`, `notRun` or `unknown`; a response without it does not come from the sidecar's handler. */
    outcome: "x-auburnarch-outcome",
    code: "x-auburnarch-code",
    retryAfterMs: "x-auburnarch-retry-after-ms",
    /** Authenticates the processes of the system to each other. */
    clusterToken: "x-auburnarch-cluster-token",
    incarnation: "x-auburnarch-incarnation",
} as const;
