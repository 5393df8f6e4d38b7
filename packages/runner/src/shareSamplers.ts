/**
 * Samplers of a policy beyond its part. Runs of several policies share a sampler's places, and a step's items start at
 * once more often; each further sampler costs a load for every second version.
 */
const sharedSamplers = 1;
/** No policy gets less than this part of an equal share: the loss of one sampler must not stop its steps. */
const leastPart = 0.5;

/**
 * How many samplers each policy gets, by the work of its jobs. A trainer whose steps are larger falls behind on an equal
 * share while the other's samplers are idle. What is left beyond the work itself serves best by the square root of the
 * work, and most of the time most places are free.
 */
export function shareSamplers(samplers: number, jobTokens: readonly (number | undefined)[]): number[] {
    const equalPart = samplers / Math.max(1, jobTokens.length);
    const weights = jobTokens.map(tokens => Math.sqrt(tokens ?? 0));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const isKnown = weights.every(weight => weight > 0);
    return weights.map(weight => {
        const part = isKnown
            ? Math.round(Math.max(leastPart * equalPart, samplers * weight / total))
            : Math.ceil(equalPart);
        return Math.min(samplers, part + sharedSamplers);
    });
}
