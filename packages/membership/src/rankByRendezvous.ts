import { createHash } from "node:crypto";

interface Ranked<T> {
    candidate: T;
    /** Of equal length, so that comparing texts compares numbers. */
    weight: string;
}

const weigh = (key: string, name: string): string =>
    createHash("sha256").update(`${key}\n${name}`).digest("hex");

/**
 * Orders `candidates` by rendezvous hash for `key`, best first. All who know the same candidates agree; when one
 * comes or goes, only keys that had it among their first choices move. `weights` keeps the hashes of one key
 * between calls.
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
