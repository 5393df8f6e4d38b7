import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { BudgetedStoreOptions } from "./BudgetedStoreOptions.js";
import { createCircuitBreaker } from "./createCircuitBreaker.js";
import { createRateLimiter } from "./createRateLimiter.js";
import { createReadCoalescer } from "./createReadCoalescer.js";

const failuresToOpen = 3;
const firstProbeMs = 250;
const maxProbeMs = 5_000;

/**
 * Limits calls to the object API to this process's budget: token buckets for reads, writes and watches, limits of
 * concurrent and waiting calls, and a circuit breaker that stops calls to a failing API and resumes them slowly. It
 * never retries a call itself. A refused call rejects with `storeThrottled`; nothing was sent then.
 */
export function createBudgetedStore(store: ObjectStore, options: BudgetedStoreOptions): ObjectStore {
    const { clock, random, callTimeoutMs = 5_000 } = options;
    const { maxWaiting = 256, maxWaitMs = 2_000, maxInFlight = 64 } = options;
    const bounds = { clock, maxWaiting, maxWaitMs, maxInFlight };
    const reads = createRateLimiter({ ...bounds, perSecond: options.readsPerSecond });
    const writes = createRateLimiter({ ...bounds, perSecond: options.writesPerSecond });
    const watches = createRateLimiter({
        ...bounds,
        perSecond: options.readsPerSecond,
        maxInFlight: Number.POSITIVE_INFINITY,
    });
    const circuitBreaker = createCircuitBreaker({
        clock,
        random,
        failuresToOpen,
        firstWaitMs: firstProbeMs,
        maxWaitMs: maxProbeMs,
    });
    const coalesceRead = createReadCoalescer<StoredObject | undefined>();

    function slowDown(): void {
        reads.slowDown();
        writes.slowDown();
        watches.slowDown();
    }

    function recordSuccess(): void {
        if (circuitBreaker.recordSuccess()) {
            // All processes detect the recovery within seconds; at full rate they would overload the API again.
            slowDown();
        }
    }

    function recordFailure(error: unknown): void {
        const code = codeOf(error);
        if (code === resultCodes.storeUnavailable) {
            circuitBreaker.recordFailure();
        }
        if (code === resultCodes.storeThrottled) {
            slowDown();
        }
    }

    function withTimeout<T>(answer: Promise<T>, limitMs: number): Promise<T> {
        return new Promise((resolve, reject) => {
            const cancel = clock.startTimer(limitMs, () => {
                reject(new ResultError(resultCodes.storeUnavailable, `no answer within ${limitMs} ms`));
            });
            answer.then(resolve, reject).finally(cancel);
        });
    }

    function checkCircuitBreaker(): void {
        if (!circuitBreaker.mayCall()) {
            const retryAfterMs = circuitBreaker.retryAfterMs();
            throw new ResultError(
                resultCodes.storeThrottled,
                "the object API is down",
                retryAfterMs,
            );
        }
    }

    async function send<T>(run: () => Promise<T>, limitMs: number): Promise<T> {
        checkCircuitBreaker();
        try {
            const answer = await withTimeout(run(), limitMs);
            recordSuccess();
            return answer;
        }
        catch (error) {
            recordFailure(error);
            throw error;
        }
    }

    async function call<T>(
        limiter: ReturnType<typeof createRateLimiter>,
        run: () => Promise<T>,
        limitMs = callTimeoutMs,
    ): Promise<T> {
        if (circuitBreaker.retryAfterMs() > 0) {
            checkCircuitBreaker();
        }
        const release = await limiter.acquire();
        try {
            return await send(run, limitMs);
        }
        finally {
            release();
        }
    }

    return {
        read: key => coalesceRead(key, () => call(reads, () => store.read(key))),
        list: prefix => call(reads, () => store.list(prefix)),
        write: (key, value, expected) => call(writes, () => store.write(key, value, expected)),
        remove: (key, expected) => call(writes, () => store.remove(key, expected)),
        watch: (prefix, revision, waitMs) =>
            call(watches, () => store.watch(prefix, revision, waitMs), callTimeoutMs + waitMs),
    };
}
