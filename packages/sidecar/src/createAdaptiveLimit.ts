import type { AdaptiveLimit } from "./AdaptiveLimit.js";

interface AdaptiveLimitDeps {
    nowMs: () => number;
    startLimit: number;
    maxLimit: number;
    minLimit: number;
    /** Time of one unit (a token, or a plain request) on an idle backend server; at least this if it is learned. */
    baselineMs: number;
    /** True where nobody says how long a unit takes: a plain service's own pace is then its baseline. */
    learnsBaseline: boolean;
    /** Lowered once a unit takes more than this many baselines. */
    maxSlowdownRatio: number;
}

const smoothingFactor = 0.1;
const decreaseFactor = 0.9;
/** One lowering at most in this time, so that one burst of slow answers counts once. */
const minDecreaseIntervalMs = 1_000;
/** A limit that was hardly used says nothing about whether it is too high. */
const minUtilization = 0.5;
/** A baseline follows what is seen on a server with room; hardly what is seen on a full one. */
const baselineLearningRate = 0.02;
const baselineLearningRateUnderLoad = 0.000_5;

/**
 * Makes a limit with additive increase and multiplicative decrease. Without it an overloaded backend server takes
 * everything, answers nothing in time, and every caller's retry makes it worse.
 */
export function createAdaptiveLimit(deps: AdaptiveLimitDeps): AdaptiveLimit {
    let limit = deps.startLimit;
    let maxLimit = deps.maxLimit;
    let baselineMs = deps.baselineMs;
    let smoothedMs = baselineMs;
    let learnedBaselineMs: number | undefined;
    let decreasedAtMs = Number.NEGATIVE_INFINITY;

    function decreaseLimit(): void {
        const nowMs = deps.nowMs();
        if (nowMs - decreasedAtMs >= minDecreaseIntervalMs) {
            decreasedAtMs = nowMs;
            limit = Math.max(deps.minLimit, limit * decreaseFactor);
        }
    }

    function updateBaseline(unitMs: number, isUtilized: boolean): void {
        if (!deps.learnsBaseline) {
            return;
        }
        if (learnedBaselineMs === undefined) {
            learnedBaselineMs = unitMs;
            smoothedMs = unitMs;
        }
        learnedBaselineMs += (isUtilized ? baselineLearningRateUnderLoad : baselineLearningRate)
            * (unitMs - learnedBaselineMs);
        baselineMs = Math.max(deps.baselineMs, learnedBaselineMs);
    }

    return {
        current: () => Math.max(deps.minLimit, Math.floor(limit)),
        observe: (unitMs, running) => {
            const isUtilized = running >= limit * minUtilization;
            updateBaseline(unitMs, isUtilized);
            smoothedMs += smoothingFactor * (unitMs - smoothedMs);
            if (!isUtilized) {
                return;
            }
            if (smoothedMs > baselineMs * deps.maxSlowdownRatio) {
                decreaseLimit();
            }
            else {
                limit = Math.min(maxLimit, limit + 1 / limit);
            }
        },
        reset: (newLimit, newBaselineMs) => {
            limit = newLimit;
            maxLimit = newLimit;
            baselineMs = newBaselineMs;
            smoothedMs = newBaselineMs;
        },
    };
}
