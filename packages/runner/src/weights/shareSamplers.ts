/**
 * Samplers of a policy beyond its share of the work. Runs of several policies share a sampler's slots, and with one
 * more sampler more items of a step start immediately; each further sampler costs a load for every second version.
 */
const extraSamplers = 1;
/** No policy gets less than this ratio of an equal share, since each one's steps have long items too. */
const minEqualShareRatio = 0.5;
/** Minimum number of samplers of a policy: one may fail or load weights while the other serves. */
const minSamplers = 2;

/**
 * Number of samplers of each policy, in proportion to the work of its batch jobs. With an equal share, a trainer with
 * larger steps falls behind and never catches up, while the samplers of others are idle.
 */
export function shareSamplers(samplers: number, jobTokens: readonly (number | undefined)[]): number[] {
    const equalShare = samplers / Math.max(1, jobTokens.length);
    const work = jobTokens.map(tokens => tokens ?? 0);
    const total = work.reduce((sum, tokens) => sum + tokens, 0);
    const isKnown = work.every(tokens => tokens > 0);
    return work.map(tokens => {
        const share = isKnown
            ? Math.round(Math.max(minSamplers, minEqualShareRatio * equalShare, samplers * tokens / total))
            : Math.ceil(equalShare);
        return Math.min(samplers, share + extraSamplers);
    });
}
