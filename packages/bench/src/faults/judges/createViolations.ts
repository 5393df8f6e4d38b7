import type { Clock } from "@auburnarch/types/Clock";
import type { Violations } from "./Violations.js";

/** Kept with their details; more are only counted. */
const maxKept = 20;

/** Makes an empty list. */
export function createViolations(clock: Clock): Violations {
    const kept: ReturnType<Violations["list"]> = [];
    let count = 0;
    return {
        add: (promise, detail) => {
            count++;
            if (kept.length < maxKept) {
                kept.push({ promise, detail, atMs: Math.round(clock.monotonicMs()) });
            }
        },
        list: () => kept,
        count: () => count,
    };
}
