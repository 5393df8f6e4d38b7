import { setMaxListeners } from "node:events";

/**
 * Waits on one stop signal that are no leak. Not 0, which stands for "no bound" but makes Node reject the signal when
 * its bound is read.
 */
const maxListenersPerSignal = 100_000;

/** Makes a controller on whose signal very many may wait. */
export function createStopController(): AbortController {
    const controller = new AbortController();
    setMaxListeners(maxListenersPerSignal, controller.signal);
    return controller;
}
