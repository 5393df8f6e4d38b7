import type { Clock } from "@auburnarch/types/Clock";
import type { TrueTimeEstimate } from "./TrueTimeEstimate.js";

interface Told {
    offsetMs: number;
    atMs: number;
}

/** What was told counts for this long. Until something is told, and after it, the own time of day is taken. */
const toldForMs = 15_000;
/** Answers are late by their way here, so the least late of the last few is taken. */
const maxKept = 4;

/** True time as another process tells it with its answers. */
export function createToldTime(clock: Clock): TrueTimeEstimate {
    let kept: Told[] = [];

    function offsetMs(): number {
        const nowMs = clock.monotonicMs();
        kept = kept.filter(told => nowMs - told.atMs < toldForMs);
        return kept.length === 0 ? clock.wallMs() - nowMs : Math.max(...kept.map(told => told.offsetMs));
    }

    return {
        nowMs: () => clock.monotonicMs() + offsetMs(),
        atMs: monotonicMs => monotonicMs + offsetMs(),
        learn: (_source, toldMs, monotonicMs) => {
            const told = { offsetMs: toldMs - monotonicMs, atMs: clock.monotonicMs() };
            kept = [...kept, told].slice(-maxKept);
        },
    };
}
