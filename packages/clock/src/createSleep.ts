import type { Clock } from "@auburnarch/types/Clock";

/** Builds `sleep` on `startTimer`. */
export function createSleep(startTimer: Clock["startTimer"]): Clock["sleep"] {
    return (delayMs, signal) =>
        new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
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
