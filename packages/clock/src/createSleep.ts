import type { Clock } from "@auburnarch/types/Clock";
import { getMaxListeners, setMaxListeners } from "node:events";

/** The loops of a process share one stop signal; more sleeps than this on one signal are more likely a leak. */
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
