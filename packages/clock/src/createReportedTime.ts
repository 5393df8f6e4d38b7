import type { Clock } from "@auburnarch/types/Clock";
import type { TrueTimeEstimate } from "./TrueTimeEstimate.js";

interface ClockReading {
    offsetMs: number;
    atMs: number;
}

/** What was told counts for this long. Until something is told, and after it, the own time of day is taken. */
const readingTtlMs = 15_000;
/** Answers are late by their way here, so the least late of the last few is taken. */
const maxReadings = 4;

/** True time as another process tells it with its answers. */
export function createReportedTime(clock: Clock): TrueTimeEstimate {
    let readings: ClockReading[] = [];

    function offsetMs(): number {
        const nowMs = clock.monotonicMs();
        readings = readings.filter(reading => nowMs - reading.atMs < readingTtlMs);
        return readings.length === 0
            ? clock.wallMs() - nowMs
            : Math.max(...readings.map(told => told.offsetMs));
    }

    return {
        nowMs: () => clock.monotonicMs() + offsetMs(),
        atMs: monotonicMs => monotonicMs + offsetMs(),
        recordReading: (_source, reportedMs, monotonicMs) => {
            const reading = { offsetMs: reportedMs - monotonicMs, atMs: clock.monotonicMs() };
            readings = [...readings, reading].slice(-maxReadings);
        },
    };
}
