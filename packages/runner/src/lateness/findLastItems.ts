import type { IncarnationId } from "@auburnarch/types/IncarnationId";

interface RemainingItem {
    remainingMs: number;
    /** Undefined while it waits. */
    sampler: IncarnationId | undefined;
}

/** The trainer waits for the longest few items; each sampler that is kept free for one costs slots of all others. */
const maxLastItems = 4;
/** The other items of a sampler take about this long to end, so a shorter item would not gain from it. */
const minRemainingMs = 700;

/**
 * Finds the samplers that run the last items of a step, the longest item first; none while items of the step still
 * wait, since the slots are needed for these.
 */
export function findLastItems(items: readonly RemainingItem[]): IncarnationId[] {
    if (items.some(({ sampler }) => sampler === undefined)) {
        return [];
    }
    const longest = items
        .filter(({ remainingMs }) => remainingMs >= minRemainingMs)
        .sort((a, b) => b.remainingMs - a.remainingMs)
        .slice(0, maxLastItems);
    return [...new Set(longest.map(({ sampler }) => sampler!))];
}
