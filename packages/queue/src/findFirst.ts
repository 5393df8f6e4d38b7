import type { Candidate } from "./Candidate.js";
import type { TeamQueue } from "./TeamQueue.js";

/** Finds the next of the accepted items; teams are compared by the first one of each. */
export function findFirst<Item>(
    teamQueues: Iterable<TeamQueue<Item>>,
    mayRun: (item: Item) => boolean,
    compareWithinTeam: (a: Item, b: Item) => number,
    comesBefore: (a: Candidate<Item>, b: Candidate<Item>) => boolean,
): Candidate<Item> | undefined {
    let first: Candidate<Item> | undefined;
    for (const teamQueue of teamQueues) {
        let best: Item | undefined;
        for (const item of teamQueue.items) {
            if (mayRun(item) && (best === undefined || compareWithinTeam(item, best) < 0)) {
                best = item;
            }
        }
        const candidate = best === undefined ? undefined : { item: best, teamQueue };
        if (candidate !== undefined && (first === undefined || comesBefore(candidate, first))) {
            first = candidate;
        }
    }
    return first;
}
