import type { Clock } from "@auburnarch/types/Clock";
import type { TrueTimeEstimate } from "./TrueTimeEstimate.js";

interface ClockReading {
    offsetMs: number;
    atMs: number;
}

/** Readings expire after this time. Without a valid reading, this process's own time of day is used. */
const readingTtlMs = 15_000;
/** A reading is late by the network delay of its response, so the least delayed of the last few is used. */
const maxReadings = 4;

/** Creates an estimate of true time from the readings that another process sends with its responses. */
export function createReportedTime(clock: Clock): TrueTimeEstimate {
    let readings: ClockReading[] = [];

    function offsetMs(): number {
        const nowMs = clock.monotonicMs();
        readings = readings.filter(reading => nowMs - reading.atMs < readingTtlMs);
        return readings.length === 0
            ? clock.wallMs() - nowMs
            : Math.max(...readings.map(reading => reading.offsetMs));
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
