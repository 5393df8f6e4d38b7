/**
 * One of this many samplers of a service loads weights at a time: more concurrent loads would slow each other down.
 */
const samplersPerLoad = 3.75;
const minLoads = 2;

/** Maximum number of `samplers` that may load at the same time. */
export function maxConcurrentLoads(samplers: number): number {
    return Math.max(minLoads, Math.floor(samplers / samplersPerLoad));
}
