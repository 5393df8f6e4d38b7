/** One in so many of a service's samplers loads weights at a time: more at once would slow each other's loads. */
const samplersPerLoad = 3.75;
const minLoads = 2;

/** How many of `samplers` may load at once. */
export function maxConcurrentLoads(samplers: number): number {
    return Math.max(minLoads, Math.floor(samplers / samplersPerLoad));
}
