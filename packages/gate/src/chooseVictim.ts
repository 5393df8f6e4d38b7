import type { SlotRequest } from "./SlotRequest.js";

interface RunningPlace extends SlotRequest {
    startedAtMs: number;
    preempted: boolean;
}

/** The running work that an interactive request displaces: lowest priority, newest of these; undefined if none. */
export function chooseVictim<Place extends RunningPlace>(
    running: Iterable<Place>,
    interactivePriority: number,
): Place | undefined {
    let victim: Place | undefined;
    for (const place of running) {
        const allowed = place.preempt !== undefined && !place.preempted
            && place.priority < interactivePriority;
        if (allowed && (victim === undefined || isCheaper(place, victim))) {
            victim = place;
        }
    }
    return victim;
}

function isCheaper(a: RunningPlace, b: RunningPlace): boolean {
    return a.priority < b.priority || (a.priority === b.priority && a.startedAtMs >= b.startedAtMs);
}
