import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { SettingsFile } from "./SettingsFile.js";

interface FollowOptions {
    file: SettingsFile;
    clock: Clock;
    logger: Logger;
    /** Calls `reload` at each signal that the settings have changed; returns a function that ends this. */
    onSignal: (reload: () => void) => () => void;
}

/** Longest time between two reads of the file. */
const checkIntervalMs = 1_000;

/**
 * Keeps the settings up to date until the returned function is called. The file is also read without a signal, at once
 * and at an interval: a change may come without one, and a signal may precede the handler.
 */
export function followSettingsFile({ file, clock, logger, onSignal }: FollowOptions): () => void {
    const stopController = new AbortController();
    const { signal } = stopController;
    const ignoreSignals = onSignal(() => void file.reload(logger));

    async function checkUntilStopped(): Promise<void> {
        while (!signal.aborted) {
            await file.check(logger);
            await clock.sleep(checkIntervalMs, signal);
        }
    }

    void checkUntilStopped();
    return () => {
        ignoreSignals();
        stopController.abort();
    };
}
