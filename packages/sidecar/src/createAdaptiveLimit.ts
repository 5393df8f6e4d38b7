import type { AdaptiveLimit } from "./AdaptiveLimit.js";

interface AdaptiveLimitDeps {
    nowMs: () => number;
    startLimit: number;
    maxLimit: number;
    minLimit: number;
    /** Time per unit (a token or a plain request) on an idle backend server; the lower bound if it is learned. */
    baselineMs: number;
    /** True if the time per unit is not known in advance: a plain service's own speed is then its baseline. */
    learnsBaseline: boolean;
    /** The limit is decreased once a unit takes longer than this many baselines. */
    maxSlowdownRatio: number;
}

const smoothingFactor = 0.1;
const decreaseFactor = 0.9;
/** At most one decrease within this time, so that one burst of slow responses counts once. */
const minDecreaseIntervalMs = 1_000;
/** Below this share of the limit in use, speed does not show whether the limit is too high. */
const minUtilization = 0.5;
/** The baseline follows what is observed on a server with spare capacity, and hardly what is observed on a full one. */
const baselineLearningRate = 0.02;
const baselineLearningRateUnderLoad = 0.000_5;

/**
 * Creates a limit with additive increase and multiplicative decrease. Without it, an overloaded backend server accepts
 * everything and answers nothing in time, and the retries of its callers add to the overload.
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
