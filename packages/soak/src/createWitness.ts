import type { Clock } from "@auburnarch/types/Clock";
import type { Witness } from "./Witness.js";

/** Makes the witness of one run; times count from now. */
export function createWitness(clock: Clock): Witness {
    const startedAtMs = clock.monotonicMs();
    const breaches: ReturnType<Witness["breaches"]> = [];
    return {
        check: (holds, promise, detail) => {
            if (!holds) {
                const atMs = Math.round(clock.monotonicMs() - startedAtMs);
                breaches.push({ atMs, promise, detail: JSON.stringify(detail) });
            }
        },
        breaches: () => breaches,
    };
}
