/** Calls between gateways and runners, by JSON-RPC. */
export const rpcMethods = {
    /** `RunnerStatus` of the called runner. */
    status: "runner.status",
    /** `ResultsAnswer` for a job, from a chunk on. */
    results: "runner.results",
    /** `FeedAnswer` to a `FeedQuery`. */
    feed: "runner.feed",
} as const;
