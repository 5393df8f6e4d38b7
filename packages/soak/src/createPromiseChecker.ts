import type { Clock } from "@auburnarch/types/Clock";
import type { PromiseChecker } from "./PromiseChecker.js";

/** Creates the promise checker of one run; times count from this call. */
export function createPromiseChecker(clock: Clock): PromiseChecker {
    const startedAtMs = clock.monotonicMs();
    const breaches: ReturnType<PromiseChecker["breaches"]> = [];
    return {
        check: (isKept, promise, detail) => {
            if (!isKept) {
                const atMs = Math.round(clock.monotonicMs() - startedAtMs);
                breaches.push({ atMs, promise, detail: JSON.stringify(detail) });
            }
        },
        breaches: () => breaches,
    };
}
