/** Headers between the system's own processes; everything else passes through. */
export const sidecarHeaders = {
    attempt: "x-auburnarch-attempt",
    service: "x-auburnarch-service",
    team: "x-auburnarch-team",
    budgetMs: "x-auburnarch-budget-ms",
    idempotent: "x-auburnarch-idempotent",
    digest: "x-auburnarch-digest",
    /** `1` for the one run that a refused content is allowed. */
    trial: "x-auburnarch-trial",
    /** `ran`, `notRun` or `unknown`; an answer without it was not made by a sidecar's gate. */
    outcome: "x-auburnarch-outcome",
    code: "x-auburnarch-code",
    retryAfterMs: "x-auburnarch-retry-after-ms",
    /** Proves the system's processes to each other. */
    clusterToken: "x-auburnarch-cluster-token",
    incarnation: "x-auburnarch-incarnation",
} as const;
