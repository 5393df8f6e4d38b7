/** When a job's trainer will need its open steps. */
interface NeedForecast {
    recordOpened(step: number, nowMs: number): void;
    /** `stated` is the need date the step was opened with; `oldest` the oldest step not whole yet. */
    needAtMs(step: number, declaredMs: number, oldest: number, nowMs: number): number;
}

const smoothing = 0.3;
/** Steps opened closer together than this were opened as one burst and say nothing about the rhythm. */
const burstWindowMs = 1_000;

/**
 * Forecasts from the rhythm at which steps are opened. The stated date alone misleads: steps opened together
 * state the same one, and while the trainer waits for a late step the next ones are not due as stated. With the
 * stated dates alone later steps take the place of the one the trainer stands still for.
 */
export function createNeedForecast(defaultIntervalMs: () => number): NeedForecast {
    let lastOpenedMs: number | undefined;
    let lastStep = -1;
    let intervalMs: number | undefined;

    return {
        recordOpened: (step, nowMs) => {
            if (step <= lastStep) {
                return;
            }
            const gapMs = lastOpenedMs === undefined ? 0 : nowMs - lastOpenedMs;
            if (gapMs > burstWindowMs) {
                intervalMs = intervalMs === undefined ? gapMs : intervalMs + smoothing * (gapMs - intervalMs);
            }
            lastStep = step;
            lastOpenedMs = nowMs;
        },
        needAtMs: (step, declaredMs, oldest, nowMs) => {
            const stepsAhead = step - oldest;
            return stepsAhead <= 0
                ? declaredMs
                : Math.max(declaredMs, nowMs + stepsAhead * (intervalMs ?? defaultIntervalMs()));
        },
    };
}
