import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { RateLimiterOptions } from "./RateLimiterOptions.js";

interface RateLimiter {
    /** Resolves when a call may start, with the function to call at its end; rejects with `storeThrottled`. */
    acquire(): Promise<() => void>;
    /** Reduces the rate to an eighth, from where it doubles each second. */
    slowDown(): void;
}

interface Waiter {
    start: () => void;
    cancelTimer: () => void;
}

const restartRateRatio = 1 / 8;
const doublingMs = 1_000;

/** Creates a rate limiter that starts calls in order and limits how many run and how many wait. */
export function createRateLimiter(options: RateLimiterOptions): RateLimiter {
    const { clock, perSecond, maxWaiting, maxWaitMs, maxInFlight } = options;
    const burst = Math.max(1, perSecond);
    const waiters = new Set<Waiter>();
    let tokens = burst;
    let refilledAtMs = clock.monotonicMs();
    let slowedAtMs = Number.NEGATIVE_INFINITY;
    let inFlight = 0;
    let cancelWake: (() => void) | undefined;

    const currentRate = (nowMs: number): number =>
        perSecond * Math.min(1, restartRateRatio * 2 ** ((nowMs - slowedAtMs) / doublingMs));

    function refill(): void {
        const nowMs = clock.monotonicMs();
        const gained = (nowMs - refilledAtMs) * currentRate(nowMs) / 1_000;
        tokens = Math.min(burst, tokens + gained);
        refilledAtMs = nowMs;
    }

    function finishCall(): void {
        inFlight--;
        startWaiting();
    }

    function mayStart(): boolean {
        refill();
        return tokens >= 1 && inFlight < maxInFlight;
    }

    function startCall(): () => void {
        tokens -= 1;
        inFlight++;
        let isReleased = false;
        return () => {
            if (!isReleased) {
                isReleased = true;
                finishCall();
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

    /** Only a lack of tokens needs a timer; at the concurrency limit the end of a call starts the next one. */
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

    function waitForTurn(): Promise<() => void> {
        return new Promise((resolve, reject) => {
            const waiter: Waiter = {
                start: () => {
                    waiter.cancelTimer();
                    resolve(startCall());
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
        acquire: async () => {
            if (waiters.size === 0 && mayStart()) {
                return startCall();
            }
            if (waiters.size >= maxWaiting) {
                throw new ResultError(
                    resultCodes.storeThrottled,
                    "too many calls wait for their turn",
                );
            }
            return waitForTurn();
        },
        slowDown: () => {
            refill();
            tokens = 0;
            slowedAtMs = clock.monotonicMs();
        },
    };
}
