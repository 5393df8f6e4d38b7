/** How many more attempts a dispatcher may send to a sampler now; the rest waits at the dispatcher. */
export type RoomRule = (input: {
    /** The sampler's concurrency limit as reported. */
    limit: number;
    /** Attempts believed to be there now, of all senders. */
    load: number;
    /** Attempts of this dispatcher that are there. */
    outstanding: number;
    /** Those of them that have begun to stream. */
    started: number;
}) => number;
