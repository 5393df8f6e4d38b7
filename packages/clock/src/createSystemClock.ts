import type { Clock } from "@auburnarch/types/Clock";
import { performance } from "node:perf_hooks";
import { createSleep } from "./createSleep.js";

/** Creates a clock on the machine's clocks. If `unref` is true, pending timers don't keep the process alive. */
export function createSystemClock(unref = false): Clock {
    function startTimer(delayMs: number, run: () => void): () => void {
        const timer = setTimeout(run, delayMs);
        if (unref) {
            timer.unref();
        }
        return () => clearTimeout(timer);
    }
    return {
        monotonicMs: () => performance.now(),
        wallMs: () => Date.now(),
        startTimer,
        sleep: createSleep(startTimer),
    };
}
