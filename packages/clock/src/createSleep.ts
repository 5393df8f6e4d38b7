import type { Clock } from "@auburnarch/types/Clock";
import { getMaxListeners, setMaxListeners } from "node:events";

/** A process's loops share one stop signal; beyond this many sleeps on one signal a leak is more likely. */
const maxListenersPerSignal = 1_000;

/** Builds `sleep` on `startTimer`. */
export function createSleep(startTimer: Clock["startTimer"]): Clock["sleep"] {
    return (delayMs, signal) =>
        new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            if (signal !== undefined && getMaxListeners(signal) < maxListenersPerSignal) {
                setMaxListeners(maxListenersPerSignal, signal);
            }
            const wake = (): void => {
                cancel();
                signal?.removeEventListener("abort", wake);
                resolve();
            };
            const cancel = startTimer(delayMs, wake);
            signal?.addEventListener("abort", wake, { once: true });
        });
}
