/** Reduces the concurrency limit of a sampler that runs a straggler which the trainer waits for. */
export type StragglerLimitRule = (limit: number) => number;
