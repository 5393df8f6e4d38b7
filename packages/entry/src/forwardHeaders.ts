/** Headers of a request that one entry forwards to another. */
export const forwardHeaders = {
    /** `1` if sent by an entry: the bearer token is then the cluster token, and `team` names the request's team. */
    forwarded: "x-auburnarch-forwarded",
    team: "x-auburnarch-team",
    deadlineMs: "x-auburnarch-deadline-ms",
    idempotent: "x-auburnarch-idempotent",
    outcome: "x-auburnarch-outcome",
} as const;
