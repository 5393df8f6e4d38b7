import type { Failures } from "./Failures.js";

/** Adds up the failures of several measurements. */
export function addFailures(...all: Failures[]): Failures {
    const sum: Failures = {};
    for (const [reason, count] of all.flatMap(failures => Object.entries(failures))) {
        sum[reason] = (sum[reason] ?? 0) + count;
    }
    return sum;
}
