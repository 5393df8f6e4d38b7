import { createHash } from "node:crypto";

interface Ranked<T> {
    candidate: T;
    /** Of equal length, so that comparing texts compares numbers. */
    weight: string;
}

/**
 * Orders `candidates` by rendezvous hash for `key`, best first. All who know the same candidates agree; when one
 * comes or goes, only keys that had it among their first choices move.
 */
export function rankByRendezvous<T>(
    key: string,
    candidates: readonly T[],
    nameOf: (candidate: T) => string,
): T[] {
    const ranked: Ranked<T>[] = candidates.map(candidate => ({
        candidate,
        weight: createHash("sha256").update(`${key}\n${nameOf(candidate)}`).digest("hex"),
    }));
    ranked.sort((a, b) => (a.weight < b.weight ? 1 : a.weight > b.weight ? -1 : 0));
    return ranked.map(({ candidate }) => candidate);
}
