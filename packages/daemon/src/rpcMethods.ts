/** Methods of the JSON-RPC calls between gateways and runners. */
export const rpcMethods = {
    /** Returns the `RunnerStatus` of the called runner. */
    status: "runner.status",
    /** Returns the `ResultsAnswer` for a batch job, starting at a chunk. */
    results: "runner.results",
    /** Returns the `FeedAnswer` to a `FeedQuery`. */
    feed: "runner.feed",
    /** Stores copies of unfinished texts; see `StoreTextsRequest`. */
    storeTexts: "runner.storeTexts",
    /** Returns the copies of a batch job's texts; see `ReadTextsRequest`. */
    readTexts: "runner.readTexts",
    /** Makes a `StoreCall` on the runner's own connection to the store; returns the `StoreCallAnswer`. */
    store: "runner.store",
} as const;
