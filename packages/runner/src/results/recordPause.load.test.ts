import { createRandom } from "@auburnarch/clock/createRandom";
import { expect, test } from "vitest";
import { recordPauseMs } from "./recordPauseMs.js";

const items = 128;
const dueMs = 7_500;
const eventMs = 50;
const longestEvents = 128;
const recordMs = 20;
/** A trainer reads at most twice a second, and acts on the results at its next poll. */
const pollMs = 500;

type PauseRule = typeof recordPauseMs;

/** Baseline: records results every second, and every 200 ms in the last two seconds before the due time. */
const baselinePauseMs: PauseRule = state =>
    state.finished >= items ? 0 : state.untilDueMs < 2_000 ? 200 : 1_000;

/** Finish times of the items of a step: most finish early, a tenth takes five times as long. */
function endsOf(seed: number): number[] {
    const random = createRandom(seed);
    const draw = (): number => {
        const events = 1 + Math.floor(24 * random.nextUnit()) * (random.nextUnit() < 0.1 ? 5 : 1);
        return Math.min(longestEvents, events) * eventMs + 150 + 250 * random.nextUnit();
    };
    return Array.from({ length: items }, draw).sort((a, b) => a - b);
}

/** Time at which each chunk is recorded, with the number of results recorded by then. */
function recordsOf(ends: number[], pause: PauseRule): { atMs: number; results: number; }[] {
    const records: { atMs: number; results: number; }[] = [];
    let recorded = 0;
    while (recorded < items) {
        const sinceMs = Math.max(ends[recorded]!, records.at(-1)?.atMs ?? 0);
        let atMs = sinceMs;
        for (;; atMs += 10) {
            const finished = ends.filter(endMs => endMs <= atMs).length;
            const isNeedMet = finished >= items;
            const waitedMs = atMs - sinceMs;
            const state = {
                total: items,
                finished,
                isNeedMet,
                isNeedRecorded: false,
                untilDueMs: dueMs - atMs,
            };
            if (waitedMs >= pause({ ...state, waitedMs })) {
                break;
            }
        }
        recorded = ends.filter(endMs => endMs <= atMs).length;
        records.push({ atMs: atMs + recordMs, results: recorded });
    }
    return records;
}

/**
 * Time at which the trainer has read all results and acts on them, and the number of results read when the step is
 * due.
 */
function readAll(records: { atMs: number; results: number; }[]): { endedMs: number; readInTime: number; } {
    let nowMs = 0;
    let read = 0;
    let readInTime = 0;
    while (read < items) {
        const pollAtMs = nowMs;
        const next = records.find(({ results }) => results > read)!;
        nowMs = Math.max(nowMs, next.atMs);
        read = records.filter(({ atMs }) => atMs <= nowMs).at(-1)!.results;
        readInTime = nowMs <= dueMs ? read : readInTime;
        nowMs = Math.max(nowMs, pollAtMs + pollMs);
    }
    return { endedMs: nowMs, readInTime };
}

function simulateSteps(pause: PauseRule): { lateMs: number; records: number; unread: number; } {
    const steps = Array.from({ length: 40 }, (_, seed) => endsOf(seed));
    const simulated = steps.map(ends => {
        const records = recordsOf(ends, pause);
        const { endedMs, readInTime } = readAll(records);
        const finished = ends.filter(endMs => endMs <= dueMs - pollMs).length;
        return { lateMs: endedMs - ends.at(-1)!, records: records.length, unread: finished - readInTime };
    });
    const meanOf = (value: (step: (typeof simulated)[number]) => number): number =>
        Math.round(simulated.reduce((sum, step) => sum + value(step), 0) / simulated.length);
    return {
        lateMs: meanOf(step => step.lateMs),
        records: meanOf(step => step.records),
        unread: Math.max(0, ...simulated.map(step => step.unread)),
    };
}

test("a trainer that waits for its last items acts sooner, and results finished in time are read in time", () => {
    // Guards against a page returned just before the last result, which delays the trainer by up to a second.
    expect({ before: simulateSteps(baselinePauseMs), now: simulateSteps(recordPauseMs) })
        .toMatchInlineSnapshot(`
      {
        "before": {
          "lateMs": 267,
          "records": 5,
          "unread": 0,
        },
        "now": {
          "lateMs": 116,
          "records": 5,
          "unread": 0,
        },
      }
    `);
});
