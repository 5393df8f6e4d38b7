/** An item is hardly slower beside one other than alone, but up to a fifth slower on a full sampler. */
const relievedShare = 1 / 4;

/** Number of items that a sampler takes while it runs a last item of a late trainer's step. */
export const relievedLimit = (limit: number): number => Math.max(1, Math.floor(limit * relievedShare));
