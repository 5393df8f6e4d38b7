import { createHash } from "node:crypto";

interface Ranked<T> {
    candidate: T;
    /** Hex digits of fixed length, so that string order equals numeric order. */
    weight: string;
}

const weigh = (key: string, name: string): string =>
    createHash("sha256").update(`${key}\n${name}`).digest("hex");

/**
 * Orders `candidates` by rendezvous hash for `key`, best first. All processes that know the same candidates agree.
 * When a candidate is added or removed, only keys that rank it among their first choices move. `weights` caches the
 * hashes of one key between calls.
 */
export function rankByRendezvous<T>(
    key: string,
    candidates: readonly T[],
    nameOf: (candidate: T) => string,
    weights: Map<string, string> = new Map(),
): T[] {
    const ranked: Ranked<T>[] = candidates.map(candidate => {
        const name = nameOf(candidate);
        const weight = weights.get(name) ?? weigh(key, name);
        weights.set(name, weight);
        return { candidate, weight };
    });
    ranked.sort((a, b) => (a.weight < b.weight ? 1 : a.weight > b.weight ? -1 : 0));
    return ranked.map(({ candidate }) => candidate);
}
