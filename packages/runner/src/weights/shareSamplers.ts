/**
 * Samplers of a policy beyond its part. Runs of several policies share a sampler's places, and a step's items start at
 * once more often; each further sampler costs a load for every second version.
 */
const extraSamplers = 1;
/** No policy gets less than this part of an equal share, since its steps have long items too. */
const minEqualShareRatio = 0.5;
/** Nor fewer: one may be lost or load weights while the other serves. */
const minSamplers = 2;

/**
 * How many samplers each policy gets, in proportion to the work of its jobs. A trainer whose steps are larger falls
 * behind on an equal share, and never catches up, while the other's samplers are idle.
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
