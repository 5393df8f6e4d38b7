import type { TeamQueue } from "./TeamQueue.js";

interface QueuedItem {
    team: string;
    costMs: number;
}

interface AheadQuery<Item> {
    teamQueues: ReadonlyMap<string, TeamQueue<Item>>;
    item: Item;
    /** Whether another item is considered. */
    counts: (other: Item) => boolean;
    /** Positive if another item precedes by its class, 0 in the same class. */
    compareClass: (other: Item) => number;
    compareWithinTeam: (a: Item, b: Item) => number;
    weightOf: (team: string) => number;
    /** Virtual time from which a team that becomes active starts. */
    minVirtualMs: number;
}

/** Estimates how many waiting items of a fair queue start before `item`, from the expected costs. */
export function countAhead<Item extends QueuedItem>(query: AheadQuery<Item>): number {
    const { teamQueues, item, counts, compareClass, compareWithinTeam, weightOf, minVirtualMs } = query;
    const own = teamQueues.get(item.team);
    const ownAhead = (own?.items ?? []).filter(other =>
        other !== item && counts(other) && compareWithinTeam(other, item) <= 0
    );
    const ownCostMs = ownAhead.reduce((sum, other) => sum + other.costMs, 0);
    const ownStartMs = Math.max(own?.virtualMs ?? minVirtualMs, minVirtualMs)
        + ownCostMs / weightOf(item.team);
    let ahead = ownAhead.length;
    for (const [team, teamQueue] of teamQueues) {
        let startMs = teamQueue.virtualMs;
        for (const other of team === item.team ? [] : teamQueue.items.filter(counts)) {
            const order = compareClass(other);
            if (order > 0 || (order === 0 && startMs <= ownStartMs)) {
                ahead++;
                startMs += other.costMs / weightOf(team);
            }
        }
    }
    return ahead;
}
