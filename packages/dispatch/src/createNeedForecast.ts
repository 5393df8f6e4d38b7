/** Forecasts when a job's trainer will need its open steps. */
interface NeedForecast {
    recordOpened(step: number, nowMs: number): void;
    /** `declaredMs` is the need date that the step was opened with, `oldest` the oldest incomplete step. */
    needAtMs(step: number, declaredMs: number, oldest: number, nowMs: number): number;
}

const smoothing = 0.3;
/** Steps opened within this time of each other form one burst, which doesn't indicate the step interval. */
const burstWindowMs = 1_000;

/**
 * Creates a forecast from the interval at which steps are opened. The declared need dates alone are misleading:
 * steps opened together declare the same date, and while the trainer waits for a late step, the next ones are not
 * needed as early as declared. With declared dates alone, later steps would displace the step that the trainer is
 * waiting for.
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
