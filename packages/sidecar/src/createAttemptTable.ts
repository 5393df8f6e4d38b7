import type { AttemptId } from "@auburnarch/types/AttemptId";
import { attemptRetentionMs } from "@auburnarch/types/attemptRetentionMs";
import type { AttemptState } from "@auburnarch/types/AttemptState";
import type { AttemptStatus } from "./AttemptStatus.js";
import type { AttemptTable } from "./AttemptTable.js";
import { createAgingMap } from "./createAgingMap.js";

interface AttemptTableDeps {
    nowMs: () => number;
    /** Maximum number of entries of each kind. */
    capacity?: number;
}

const defaultCapacity = 100_000;
/** Longer than any budget, so that no message sent before the tombstone can arrive after it has expired. */
const tombstoneMemoryMs = 3_600_000;

/**
 * Creates the table. A sender whose connection broke and whose query is answered with "never seen" sends its request to
 * another sampler; the tombstone then refuses the first message, which may still arrive.
 *
 * Memory is bounded. If more attempts end within the memory time than the table holds, the oldest are evicted. Until
 * that time has passed, an unknown id is answered with `finished`, which a sender treats as unknown: eviction must
 * never turn into "never seen". Tombstones are not evicted early: if there is no room for another one, the answer is
 * `finished` as well.
 */
export function createAttemptTable(deps: AttemptTableDeps): AttemptTable {
    const { nowMs, capacity = defaultCapacity } = deps;
    const running = new Set<AttemptId>();
    const ended = createAgingMap<AttemptId, "finished" | "refused">({
        nowMs,
        memoryMs: attemptRetentionMs,
        capacity,
    });
    const tombstones = createAgingMap<AttemptId, "tombstone">({
        nowMs,
        memoryMs: tombstoneMemoryMs,
        capacity: Number.POSITIVE_INFINITY,
    });

    function statusOf(attempt: AttemptId): AttemptStatus {
        return running.has(attempt) ? "running" : tombstones.get(attempt) ?? ended.get(attempt);
    }

    function end(attempt: AttemptId, result: "finished" | "refused"): void {
        running.delete(attempt);
        ended.set(attempt, result);
    }

    function query(attempt: AttemptId): AttemptState["state"] {
        const known = statusOf(attempt);
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
        statusOf,
        start: attempt => void running.add(attempt),
        finish: attempt => end(attempt, "finished"),
        refuse: attempt => end(attempt, "refused"),
        query,
        running: () => running.size,
        retainedCount: () => ended.size() + tombstones.size(),
    };
}
