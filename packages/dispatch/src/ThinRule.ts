/** The limit up to which a sampler is filled that runs a straggler the trainer waits for. */
export type ThinRule = (limit: number) => number;
