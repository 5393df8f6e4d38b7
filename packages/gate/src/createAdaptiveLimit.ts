import type { AdaptiveLimit } from "./AdaptiveLimit.js";

interface AdaptiveLimitDeps {
    nowMs: () => number;
    startLimit: number;
    maxLimit: number;
    minLimit: number;
    /** Time of one unit (a token, or a plain request) on an idle backend server. */
    baselineMs: number;
    /** Lowered once a unit takes more than this many baselines. */
    maxSlowdownRatio: number;
}

const smoothing = 0.1;
const decrease = 0.9;
/** One lowering at most in this time, so that one burst of slow answers counts once. */
const lowerPauseMs = 1_000;
/** A limit that was hardly used says nothing about whether it is too high. */
const usedRatio = 0.5;

/**
 * Makes a limit with additive increase and multiplicative decrease. Without it an overloaded backend server takes
 * everything, answers nothing in time, and every caller's retry makes it worse.
 */
export function createAdaptiveLimit(deps: AdaptiveLimitDeps): AdaptiveLimit {
    let limit = deps.startLimit;
    let maxLimit = deps.maxLimit;
    let baselineMs = deps.baselineMs;
    let smoothedMs = baselineMs;
    let loweredAtMs = Number.NEGATIVE_INFINITY;

    function lower(): void {
        const nowMs = deps.nowMs();
        if (nowMs - loweredAtMs >= lowerPauseMs) {
            loweredAtMs = nowMs;
            limit = Math.max(deps.minLimit, limit * decrease);
        }
    }

    return {
        current: () => Math.max(deps.minLimit, Math.floor(limit)),
        observe: (unitMs, running) => {
            smoothedMs += smoothing * (unitMs - smoothedMs);
            if (running < limit * usedRatio) {
                return;
            }
            if (smoothedMs > baselineMs * deps.maxSlowdownRatio) {
                lower();
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
