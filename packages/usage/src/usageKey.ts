import type { UsageCounter } from "@auburnarch/types/UsageCounter";

/** Identity of a counter: two reports with the same key are readings of the same counter at two moments. */
export function usageKey(counter: UsageCounter): string {
    return `${counter.sampler} ${counter.incarnation} ${counter.team} ${counter.job ?? ""}`;
}
