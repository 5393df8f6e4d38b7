import type { AttemptId } from "@auburnarch/types/AttemptId";
import { attemptMemoryMs } from "@auburnarch/types/attemptMemoryMs";
import type { AttemptState } from "@auburnarch/types/AttemptState";
import type { AttemptStanding } from "./AttemptStanding.js";
import type { AttemptTable } from "./AttemptTable.js";

interface EndedAttempt {
    standing: "finished" | "refused" | "tombstone";
    atMs: number;
}

interface AttemptTableDeps {
    nowMs: () => number;
    /** Entries of each kind kept at most. */
    capacity?: number;
}

const defaultCapacity = 100_000;
/** Longer than any budget, so that no message sent before the tombstone can still arrive after it. */
const tombstoneMemoryMs = 1_800_000;

/**
 * Makes the table. What goes wrong without it: a sender whose connection broke is told "never seen", sends the
 * request elsewhere, and the first message, late, runs here as well. One notices by the effect happening twice.
 * The tombstone refuses the late message.
 *
 * Memory is bounded. Where more attempts end within the memory time than the table holds, the oldest are
 * forgotten, and until that time has passed an unknown id is answered `finished`, which a sender takes as unknown:
 * forgetting must never turn into "never seen".
 */
export function createAttemptTable(deps: AttemptTableDeps): AttemptTable {
    const capacity = deps.capacity ?? defaultCapacity;
    const running = new Set<AttemptId>();
    const ended = new Map<AttemptId, EndedAttempt>();
    const tombstones = new Map<AttemptId, EndedAttempt>();
    let forgetfulUntilMs = Number.NEGATIVE_INFINITY;

    function dropExpired(kept: Map<AttemptId, EndedAttempt>, memoryMs: number): void {
        const limitMs = deps.nowMs() - memoryMs;
        for (const [attempt, record] of kept) {
            if (record.atMs > limitMs) {
                return;
            }
            kept.delete(attempt);
        }
    }

    function end(attempt: AttemptId, standing: "finished" | "refused"): void {
        running.delete(attempt);
        dropExpired(ended, attemptMemoryMs);
        if (ended.size >= capacity) {
            const [oldest] = ended.keys();
            ended.delete(oldest!);
            forgetfulUntilMs = deps.nowMs() + attemptMemoryMs;
        }
        ended.set(attempt, { standing, atMs: deps.nowMs() });
    }

    function standing(attempt: AttemptId): AttemptStanding {
        if (running.has(attempt)) {
            return "running";
        }
        return (tombstones.get(attempt) ?? ended.get(attempt))?.standing;
    }

    function query(attempt: AttemptId): AttemptState["state"] {
        const known = standing(attempt);
        if (known === "tombstone") {
            return "neverSeen";
        }
        if (known !== undefined) {
            return known;
        }
        dropExpired(tombstones, tombstoneMemoryMs);
        if (deps.nowMs() < forgetfulUntilMs || tombstones.size >= capacity) {
            return "finished";
        }
        tombstones.set(attempt, { standing: "tombstone", atMs: deps.nowMs() });
        return "neverSeen";
    }

    return {
        standing,
        start: attempt => void running.add(attempt),
        finish: attempt => end(attempt, "finished"),
        refuse: attempt => end(attempt, "refused"),
        query,
        running: () => running.size,
        kept: () => ended.size + tombstones.size,
    };
}
