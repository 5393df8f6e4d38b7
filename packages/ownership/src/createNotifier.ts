import type { Clock } from "@auburnarch/types/Clock";

/** Wakes the waiters of a change. */
interface Notifier {
    notify(): void;
    /** Resolves at the next `notify` or after `waitMs`. */
    wait(waitMs: number): Promise<void>;
}

/** Creates a notifier; a notification wakes all current waiters at once. */
export function createNotifier(clock: Clock): Notifier {
    let changed = new AbortController();
    return {
        notify: () => {
            const previous = changed;
            changed = new AbortController();
            previous.abort();
        },
        wait: waitMs => clock.sleep(waitMs, changed.signal),
    };
}
