import { createLatencyBaselines } from "./createLatencyBaselines.js";
import type { ServiceLimit } from "./ServiceLimit.js";

interface Period {
    startMs: number;
    attempts: number;
    fullAttempts: number;
    lateAttempts: number;
    slowdownSum: number;
    peakInFlight: number;
    isReached: boolean;
}

const periodMs = 250;
/** With fewer attempts a period goes on, up to `maxPeriodMs`, so that one rejection alone says little. */
const minAttempts = 4;
const maxPeriodMs = 1_000;
/**
 * Share of rejected attempts that indicates a full service; below it, the next sampler usually accepts. A smaller share
 * would leave slots empty while requests are refused.
 */
const fullShare = 0.5;
/** Share of late answers that indicates overload: the median caller no longer meets its target latency. */
const lateShare = 0.5;
/** An answer is only delayed by load if it took this many times the sampler's lowest latency. */
const minSlowdown = 2;
/** A decrease that does not reduce the slowdown to this share did not help; the next one then waits for `holdMs`. */
const helpfulRatio = 0.95;
const holdMs = 2_000;
const decreaseFactor = 0.9;
const increaseRatio = 0.1;
/** With a limit of one, a single unresponsive sampler would stop all requests of the gateway. */
const minLimit = 2;
/** Without signs of overload for this long the limit is removed. */
const memoryMs = 5_000;

/**
 * Creates the limit of one service. Load addressed: samplers that together accept fewer requests than this and the
 * other gateways send. Additive increase and multiplicative decrease let the gateways share the capacity without
 * messages. Late answers lower the limit only as long as this shortens them, since samplers that are slow by themselves
 * do not become faster with fewer requests.
 */
export function createServiceLimit(nowMs: () => number): ServiceLimit {
    const baselineOf = createLatencyBaselines(nowMs);
    let limit = Number.POSITIVE_INFINITY;
    let signalAtMs = Number.NEGATIVE_INFINITY;
    let lateDecrease: { slowdown: number; atMs: number; } | undefined;
    let period = startPeriod();

    function startPeriod(): Period {
        return {
            startMs: nowMs(),
            attempts: 0,
            fullAttempts: 0,
            lateAttempts: 0,
            slowdownSum: 0,
            peakInFlight: 0,
            isReached: false,
        };
    }

    function isFull(): boolean {
        return period.fullAttempts >= fullShare * period.attempts && period.fullAttempts > 0;
    }

    /** Whether answers are late and a lower limit may help. */
    function isLate(): boolean {
        const answers = period.attempts - period.fullAttempts;
        if (period.lateAttempts < lateShare * answers || period.lateAttempts === 0) {
            return false;
        }
        const slowdown = period.slowdownSum / answers;
        const mayHelp = lateDecrease === undefined
            || slowdown <= helpfulRatio * lateDecrease.slowdown
            || nowMs() - lateDecrease.atMs >= holdMs;
        if (mayHelp) {
            lateDecrease = { slowdown, atMs: nowMs() };
        }
        return mayHelp;
    }

    function adapt(): void {
        if (isFull() || isLate()) {
            signalAtMs = nowMs();
            limit = Math.max(minLimit, Math.min(limit, period.peakInFlight) * decreaseFactor);
        }
        else if (nowMs() - signalAtMs >= memoryMs) {
            removeLimit();
        }
        else if (period.isReached) {
            limit += Math.max(1, limit * increaseRatio);
        }
    }

    function removeLimit(): void {
        limit = Number.POSITIVE_INFINITY;
        lateDecrease = undefined;
    }

    function recordAttempt(inFlight: number): void {
        period.attempts++;
        period.peakInFlight = Math.max(period.peakInFlight, inFlight);
        const ageMs = nowMs() - period.startMs;
        if (ageMs >= maxPeriodMs || (ageMs >= periodMs && period.attempts >= minAttempts)) {
            adapt();
            period = startPeriod();
        }
    }

    return {
        // Fractions are kept inside, since a limit of 3 would otherwise fall by a third at once.
        current: () => Math.round(limit),
        recordReached: () => {
            period.isReached = true;
        },
        recordIdle: () => {
            if (nowMs() - signalAtMs >= memoryMs) {
                removeLimit();
            }
            if (nowMs() - period.startMs >= memoryMs) {
                period = startPeriod();
            }
        },
        recordFull: inFlight => {
            period.fullAttempts++;
            recordAttempt(inFlight);
        },
        recordLatency: (sampler, tookMs, targetMs, inFlight) => {
            const slowdown = tookMs / Math.max(1, baselineOf(sampler, tookMs));
            period.slowdownSum += slowdown;
            period.lateAttempts += Number(tookMs > targetMs && slowdown >= minSlowdown);
            recordAttempt(inFlight);
        },
    };
}
