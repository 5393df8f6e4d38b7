/** When a job's trainer will need its open steps. */
interface NeedForecast {
    noteOpened(step: number, nowMs: number): void;
    /** `stated` is the need date the step was opened with; `oldest` the oldest step not whole yet. */
    needAtMs(step: number, statedMs: number, oldest: number, nowMs: number): number;
}

const smoothing = 0.3;
/** Steps opened closer together than this were opened as one burst and say nothing about the rhythm. */
const burstMs = 1_000;

/**
 * Forecasts from the rhythm at which steps are opened. The stated date alone misleads: steps opened together
 * state the same one, and while the trainer waits for a late step the next ones are not due as stated. With the
 * stated dates alone later steps take the place of the one the trainer stands still for.
 */
export function createNeedForecast(defaultRhythmMs: () => number): NeedForecast {
    let lastOpenedMs: number | undefined;
    let lastStep = -1;
    let rhythmMs: number | undefined;

    return {
        noteOpened: (step, nowMs) => {
            if (step <= lastStep) {
                return;
            }
            const gapMs = lastOpenedMs === undefined ? 0 : nowMs - lastOpenedMs;
            if (gapMs > burstMs) {
                rhythmMs = rhythmMs === undefined ? gapMs : rhythmMs + smoothing * (gapMs - rhythmMs);
            }
            lastStep = step;
            lastOpenedMs = nowMs;
        },
        needAtMs: (step, statedMs, oldest, nowMs) => {
            const ahead = step - oldest;
            return ahead <= 0
                ? statedMs
                : Math.max(statedMs, nowMs + ahead * (rhythmMs ?? defaultRhythmMs()));
        },
    };
}
