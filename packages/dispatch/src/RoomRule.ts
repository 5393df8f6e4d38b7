/** Number of further attempts that a dispatcher may send to a sampler now; others wait at the dispatcher. */
export type RoomRule = (input: {
    /** The sampler's concurrency limit as reported. */
    limit: number;
    /** Estimated number of attempts on the sampler now, from all senders. */
    load: number;
    /** Attempts of this dispatcher on the sampler. */
    outstanding: number;
    /** Those of them that have started to stream. */
    started: number;
}) => number;
