import type { SlotRequest } from "./SlotRequest.js";

interface RunningEntry extends SlotRequest {
    startedAtMs: number;
    preempted: boolean;
}

/**
 * Chooses the running work that an interactive request preempts: the newest of the lowest priority; undefined if there
 * is none.
 */
export function choosePreemptionVictim<Entry extends RunningEntry>(
    running: Iterable<Entry>,
    interactivePriority: number,
): Entry | undefined {
    let victim: Entry | undefined;
    for (const entry of running) {
        const allowed = entry.preempt !== undefined && !entry.preempted
            && entry.priority < interactivePriority;
        if (allowed && (victim === undefined || isCheaperToPreempt(entry, victim))) {
            victim = entry;
        }
    }
    return victim;
}

function isCheaperToPreempt(a: RunningEntry, b: RunningEntry): boolean {
    return a.priority < b.priority || (a.priority === b.priority && a.startedAtMs >= b.startedAtMs);
}
