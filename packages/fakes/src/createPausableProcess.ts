import { createSleep } from "@auburnarch/clock/createSleep";
import type { Clock } from "@auburnarch/types/Clock";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";

interface PausableProcess {
    /** Fires no timer while paused; its time continues, as on a paused VM. */
    clock: Clock;
    /** Answers are delivered only once the process is resumed. */
    store: ObjectStore;
    pause(): void;
    resume(): void;
}

/** Creates the clock and store of a process that can be paused, as a VM can be by its host. */
export function createPausableProcess(clock: Clock, store: ObjectStore): PausableProcess {
    let paused = false;
    let waiting: (() => void)[] = [];

    function runWhenResumed(run: () => void): void {
        if (paused) {
            waiting.push(run);
        }
        else {
            run();
        }
    }

    function startTimer(delayMs: number, run: () => void): () => void {
        let cancelled = false;
        const cancel = clock.startTimer(delayMs, () => runWhenResumed(() => cancelled || run()));
        return () => {
            cancelled = true;
            cancel();
        };
    }

    function deferWhilePaused<T>(answer: Promise<T>): Promise<T> {
        return new Promise((resolve, reject) => {
            answer.then(
                value => runWhenResumed(() => resolve(value)),
                (error: unknown) => runWhenResumed(() => reject(error as Error)),
            );
        });
    }

    return {
        clock: { ...clock, startTimer, sleep: createSleep(startTimer) },
        store: {
            read: key => deferWhilePaused(store.read(key)),
            list: prefix => deferWhilePaused(store.list(prefix)),
            write: (key, value, expected) => deferWhilePaused(store.write(key, value, expected)),
            remove: (key, expected) => deferWhilePaused(store.remove(key, expected)),
            watch: (prefix, revision, waitMs) => deferWhilePaused(store.watch(prefix, revision, waitMs)),
        },
        pause: () => {
            paused = true;
        },
        resume: () => {
            paused = false;
            const due = waiting;
            waiting = [];
            due.forEach(run => run());
        },
    };
}
