import type { Clock } from "@auburnarch/types/Clock";
import type { AbsenceNote } from "./AbsenceNote.js";

interface AbsenceNoteDeps {
    /** Milliseconds since the first of the calls of this process that have all failed since; 0 while calls succeed. */
    storeSilentMs: () => number;
    /** Milliseconds since calls of this process began to succeed again after failures; infinite if none failed yet. */
    storeRegainedMs: () => number;
    clock: Clock;
}

const checkMs = 200;
/** Processes notice an absence within this time of each other. */
const noticedTogetherMs = 1_000;

/** Makes the note of one process. */
export function createAbsenceNote({ storeSilentMs, storeRegainedMs, clock }: AbsenceNoteDeps): AbsenceNote {
    let awayAtMs = -Infinity;

    /** What runners said to be an absence lasts for as long as this process can't use the store either. */
    function check(): void {
        const silentMs = storeSilentMs();
        const nowMs = clock.monotonicMs();
        if (silentMs > 0 && awayAtMs >= nowMs - silentMs - noticedTogetherMs) {
            awayAtMs = nowMs;
        }
        clock.startTimer(checkMs, check);
    }

    clock.startTimer(checkMs, check);
    return {
        // A store that this process uses is there, whatever runners that have lost it say.
        awayMs: () => Math.max(clock.monotonicMs() - awayAtMs, storeSilentMs() > 0 ? 0 : storeRegainedMs()),
        noteAway: awayMs => {
            awayAtMs = clock.monotonicMs() - awayMs;
        },
        noteThere: () => {
            awayAtMs = -Infinity;
        },
    };
}
