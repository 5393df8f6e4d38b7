import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { RateGateOptions } from "./RateGateOptions.js";

interface RateGate {
    /** Resolves when a call may start, with the function that ends it; rejects with `storeThrottled`. */
    enter(): Promise<() => void>;
    /** Starts again at an eighth of the rate, doubling each second. */
    slowDown(): void;
}

interface Waiter {
    start: () => void;
    cancelTimer: () => void;
}

const slowestPart = 1 / 8;
const doublingMs = 1_000;

/** Lets calls through at a rate, in order, with bounds on how many run and how many wait. */
export function createRateGate(options: RateGateOptions): RateGate {
    const { clock, perSecond, maxWaiting, maxWaitMs, maxInFlight } = options;
    const burst = Math.max(1, perSecond);
    const waiters = new Set<Waiter>();
    let tokens = burst;
    let filledAtMs = clock.monotonicMs();
    let slowedAtMs = Number.NEGATIVE_INFINITY;
    let inFlight = 0;
    let cancelWake: (() => void) | undefined;

    const currentRate = (nowMs: number): number =>
        perSecond * Math.min(1, slowestPart * 2 ** ((nowMs - slowedAtMs) / doublingMs));

    function fill(): void {
        const nowMs = clock.monotonicMs();
        const gained = (nowMs - filledAtMs) * currentRate(nowMs) / 1_000;
        tokens = Math.min(burst, tokens + gained);
        filledAtMs = nowMs;
    }

    function leave(): void {
        inFlight--;
        startWaiting();
    }

    function mayStart(): boolean {
        fill();
        return tokens >= 1 && inFlight < maxInFlight;
    }

    function begin(): () => void {
        tokens -= 1;
        inFlight++;
        let left = false;
        return () => {
            if (!left) {
                left = true;
                leave();
            }
        };
    }

    function startWaiting(): void {
        for (const waiter of waiters) {
            if (!mayStart()) {
                break;
            }
            waiters.delete(waiter);
            waiter.start();
        }
        scheduleWake();
    }

    /** A full batch is woken by its next end; only a lack of tokens needs a timer. */
    function scheduleWake(): void {
        if (cancelWake !== undefined || waiters.size === 0 || inFlight >= maxInFlight) {
            return;
        }
        const delayMs = Math.max(1, (1 - tokens) * 1_000 / currentRate(clock.monotonicMs()));
        cancelWake = clock.startTimer(delayMs, () => {
            cancelWake = undefined;
            startWaiting();
        });
    }

    function wait(): Promise<() => void> {
        return new Promise((resolve, reject) => {
            const waiter: Waiter = {
                start: () => {
                    waiter.cancelTimer();
                    resolve(begin());
                },
                cancelTimer: clock.startTimer(maxWaitMs, () => {
                    waiters.delete(waiter);
                    reject(new ResultError(resultCodes.storeThrottled, "waited too long for its turn"));
                }),
            };
            waiters.add(waiter);
            scheduleWake();
        });
    }

    return {
        enter: async () => {
            if (waiters.size === 0 && mayStart()) {
                return begin();
            }
            if (waiters.size >= maxWaiting) {
                throw new ResultError(resultCodes.storeThrottled, "too many calls wait for their turn");
            }
            return wait();
        },
        slowDown: () => {
            fill();
            tokens = 0;
            slowedAtMs = clock.monotonicMs();
        },
    };
}
