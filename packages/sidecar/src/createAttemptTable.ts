import type { AttemptId } from "@auburnarch/types/AttemptId";
import { attemptMemoryMs } from "@auburnarch/types/attemptMemoryMs";
import type { AttemptState } from "@auburnarch/types/AttemptState";
import type { AttemptStanding } from "./AttemptStanding.js";
import type { AttemptTable } from "./AttemptTable.js";
import { createAgingMap } from "./createAgingMap.js";

interface AttemptTableDeps {
    nowMs: () => number;
    /** Entries of each kind kept at most. */
    capacity?: number;
}

const defaultCapacity = 100_000;
/** Longer than any budget, so that no message sent before the tombstone can still arrive after it. */
const tombstoneMemoryMs = 3_600_000;

/**
 * Makes the table. A sender whose connection broke and who is told "never seen" sends its request elsewhere; the
 * tombstone then refuses the first message, which may still come.
 *
 * Memory is bounded. Where more attempts end within the memory time than the table holds, the oldest are
 * forgotten, and until that time has passed an unknown id is answered `finished`, which a sender takes as unknown:
 * forgetting must never turn into "never seen". Tombstones are not forgotten early: without room for another one
 * the answer is `finished` as well.
 */
export function createAttemptTable(deps: AttemptTableDeps): AttemptTable {
    const { nowMs, capacity = defaultCapacity } = deps;
    const running = new Set<AttemptId>();
    const ended = createAgingMap<AttemptId, "finished" | "refused">({
        nowMs,
        memoryMs: attemptMemoryMs,
        capacity,
    });
    const tombstones = createAgingMap<AttemptId, "tombstone">({
        nowMs,
        memoryMs: tombstoneMemoryMs,
        capacity: Number.POSITIVE_INFINITY,
    });

    function standing(attempt: AttemptId): AttemptStanding {
        return running.has(attempt) ? "running" : tombstones.get(attempt) ?? ended.get(attempt);
    }

    function end(attempt: AttemptId, result: "finished" | "refused"): void {
        running.delete(attempt);
        ended.set(attempt, result);
    }

    function query(attempt: AttemptId): AttemptState["state"] {
        const known = standing(attempt);
        if (known === "tombstone") {
            return "neverSeen";
        }
        if (known !== undefined) {
            return known;
        }
        if (ended.mayHaveEvictedEarly() || tombstones.size() >= capacity) {
            return "finished";
        }
        tombstones.set(attempt, "tombstone");
        return "neverSeen";
    }

    return {
        standing,
        start: attempt => void running.add(attempt),
        finish: attempt => end(attempt, "finished"),
        refuse: attempt => end(attempt, "refused"),
        query,
        running: () => running.size,
        retainedCount: () => ended.size() + tombstones.size(),
    };
}
