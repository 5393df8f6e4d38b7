import { setMaxListeners } from "node:events";

/**
 * Listeners on one stop signal that are not reported as a leak. Not 0, which means "no limit" but makes Node reject the
 * signal when its limit is read.
 */
const maxListenersPerSignal = 100_000;

/** Creates an abort controller whose signal may have a very large number of listeners. */
export function createStopController(): AbortController {
    const controller = new AbortController();
    setMaxListeners(maxListenersPerSignal, controller.signal);
    return controller;
}
