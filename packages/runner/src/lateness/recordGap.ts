import type { PaceRecord } from "./PaceRecord.js";

/**
 * Half a second of silence lowers the pace by a fifth with this memory, which is too little for a move; a lasting pace
 * of half the speed counts as such after 1.5 s.
 */
const memoryMs = 2_000;
/** A longer pause is a fault of the process or the link and does not indicate the pace after it. */
const maxGapMs = 600;

/**
 * Adds the time between two events of a run to the lasting pace of its sampler. Load addressed: samplers of different
 * speed that also pause, where a move costs reading the prompt again.
 */
export function recordGap(before: PaceRecord | undefined, gapMs: number, nowMs: number): PaceRecord {
    const elapsedMs = before === undefined ? 0 : Math.min(nowMs - before.atMs, maxGapMs);
    const weight = Math.exp(-elapsedMs / memoryMs);
    return {
        events: (before?.events ?? 0) * weight + 1,
        runMs: (before?.runMs ?? 0) * weight + Math.max(1, Math.min(gapMs, maxGapMs)),
        atMs: nowMs,
    };
}
