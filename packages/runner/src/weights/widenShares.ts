/**
 * Maximum sum of all shares per sampler: half of the samplers serve a second policy. Each further share costs a load
 * for every second version, and only some samplers may load at the same time.
 */
const maxSharesPerSampler = 1.5;

interface WidenQuery {
    samplers: number;
    /** Number of requests that one sampler processes concurrently. */
    slotsPerSampler: number;
    /** Number of items of one batch job of each policy; undefined if no batch job is known. */
    jobItems: readonly (number | undefined)[];
}

/**
 * Widens shares for steps whose items arrive all at once. A share in proportion to the work keeps up over time, but
 * the items of a step beyond its slots wait while slots of other policies' samplers are free. A step also ends with
 * its longest items, which run slower the more items share their sampler.
 */
export function widenShares(
    shares: readonly number[],
    { samplers, slotsPerSampler, jobItems }: WidenQuery,
): number[] {
    const shortfalls = shares.map((share, at) => {
        const wanted = Math.ceil((jobItems[at] ?? 0) / Math.max(1, slotsPerSampler));
        return Math.max(0, Math.min(samplers, wanted) - share);
    });
    const total = shortfalls.reduce((sum, each) => sum + each, 0);
    const totalShares = shares.reduce((sum, share) => sum + share, 0);
    const spare = Math.max(0, Math.floor(maxSharesPerSampler * samplers) - totalShares);
    const ratio = total === 0 ? 0 : Math.min(1, spare / total);
    return shares.map((share, at) => share + Math.floor(shortfalls[at]! * ratio));
}
