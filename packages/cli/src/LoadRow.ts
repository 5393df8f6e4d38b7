/** What the logs tell of the loads of one policy. */
export interface LoadRow {
    policy: string;
    loads: number;
    failed: number;
    /** Samplers that loaded it. */
    samplers: number;
    /** Loads on a sampler whose load before was of another policy; undefined loads before count as none. */
    changed: number;
    /** Mean time of those that were done; undefined if none was. */
    meanMs: number | undefined;
    /** Time that samplers spent on them together. */
    totalMs: number;
}
