import { medianOf } from "./medianOf.js";

interface KnownPaces {
    /** Events per second as observed here; undefined if this runner has not observed the sampler lately. */
    own: number | undefined;
    /** The same as observed by peers. */
    peers: readonly number[];
    /** Paces of the other samplers of its service. */
    service: readonly number[];
}

/**
 * Chooses the expected pace of a sampler: observed here, or else by peers, or else the median of its service. Load
 * addressed: samplers of different speed, each of which would otherwise be measured anew by every runner.
 */
export const choosePace = ({ own, peers, service }: KnownPaces): number | undefined =>
    own ?? medianOf(peers) ?? medianOf(service);
