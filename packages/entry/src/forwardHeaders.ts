/** Headers of a request that one entry passes on to another. */
export const forwardHeaders = {
    /** `1` where an entry sent it; its bearer token is then the cluster's, and `team` says whose request it is. */
    forwarded: "x-auburnarch-forwarded",
    team: "x-auburnarch-team",
    deadlineMs: "x-auburnarch-deadline-ms",
    idempotent: "x-auburnarch-idempotent",
    outcome: "x-auburnarch-outcome",
} as const;
