import type { Clock } from "@auburnarch/types/Clock";
import type { Violations } from "./Violations.js";

/** Violations beyond this number are only counted. */
const maxDetailed = 20;

/** Creates an empty list of violations. */
export function createViolations(clock: Clock): Violations {
    const detailed: ReturnType<Violations["list"]> = [];
    let count = 0;
    return {
        add: (promise, detail) => {
            count++;
            if (detailed.length < maxDetailed) {
                detailed.push({ promise, detail, atMs: Math.round(clock.monotonicMs()) });
            }
        },
        list: () => detailed,
        count: () => count,
    };
}
