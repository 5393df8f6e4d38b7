/**
 * The part of a service's samplers that load weights at once without slowing each other: 2 of 6, 8 of 27 and 9 of 33 on
 * the deployments known so far, which do not tell it to the processes.
 */
const samplersPerLoad = 3.75;
const fewest = 2;

/** How many of `samplers` may load at once. */
export function loadsAtOnce(samplers: number): number {
    return Math.max(fewest, Math.floor(samplers / samplersPerLoad));
}
