import { codeOf } from "@auburnarch/errors/codeOf";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";

interface StoreHealth {
    store: ObjectStore;
    /** Milliseconds since the first of the calls that have all failed since; 0 while calls succeed. */
    silentMs(): number;
    /** Milliseconds since it last answered. */
    sinceAnswerMs(): number;
    /** Resolves once calls succeed, at once where they do, or have failed for long; true if they failed at first. */
    waitForStore(): Promise<boolean>;
    /** Milliseconds since calls began to succeed again after failures; infinite if none failed yet. */
    regainedMs(): number;
}

/**
 * Where other calls are rare, a process would not notice that the store turns it away. A runner that hands changes on
 * has a second to notice; the call costs a tenth of others.
 */
const probeIntervalMs = 500;
/** A process that neither read nor wrote for this long is idle, and asks as seldom as its role allows. */
const idleAfterMs = 10_000;
/** While calls fail. Others wait for the first one that succeeds, so that an outage costs four calls a second. */
const retryProbeIntervalMs = 250;
/**
 * Longest wait of a list or watch for the store to come back. A sign of life ends it; without one a call would be
 * refused like the others, and charged.
 */
const maxRecoveryWaitMs = 5_000;

/** Every call is charged; this line tells which ones. */
const reportIntervalMs = 10_000;

/**
 * Counts calls to the store and notes whether it answers; `touch` asks it for a sign of life. Signs of life grow with
 * the number of processes, so one that has no use for the store may ask less often: it loses the store unnoticed for
 * that long, and nobody is refused by it meanwhile.
 */
export function createStoreHealth(
    inner: ObjectStore,
    touch: (isCheap: boolean) => Promise<void>,
    clock: Clock,
    metrics: Metrics,
    logger: Logger,
    idleProbeIntervalMs: number = probeIntervalMs,
): StoreHealth {
    const counts = new Map<string, number>();
    let failingSinceMs: number | undefined;
    let answeredAtMs = -Infinity;
    let isFullProbeRunning = false;
    let usedAtMs = clock.monotonicMs();
    let recoveredAtMs = -Infinity;
    let recovery = new AbortController();

    async function recordCall<T>(call: string, key: string, run: () => Promise<T>): Promise<T> {
        const kind = key.slice(0, Math.max(0, key.indexOf("/")));
        const startedAtMs = clock.monotonicMs();
        counts.set(`${call}:${kind}`, (counts.get(`${call}:${kind}`) ?? 0) + 1);
        try {
            const result = await run();
            if (failingSinceMs !== undefined) {
                failingSinceMs = undefined;
                recoveredAtMs = clock.monotonicMs();
                recovery.abort();
                recovery = new AbortController();
            }
            answeredAtMs = clock.monotonicMs();
            metrics.observeMs(
                "store_calls_ms",
                { call, kind, result: "ok" },
                clock.monotonicMs() - startedAtMs,
            );
            return result;
        }
        catch (error) {
            failingSinceMs ??= clock.monotonicMs();
            metrics.observeMs(
                "store_calls_ms",
                { call, kind, result: codeOf(error).name },
                clock.monotonicMs() - startedAtMs,
            );
            throw error;
        }
    }

    function callStore<T>(call: string, key: string, run: () => Promise<T>): Promise<T> {
        usedAtMs = clock.monotonicMs();
        return recordCall(call, key, run);
    }

    function nextProbeDelayMs(): number {
        if (failingSinceMs !== undefined) {
            return retryProbeIntervalMs;
        }
        return clock.monotonicMs() - usedAtMs > idleAfterMs ? idleProbeIntervalMs : probeIntervalMs;
    }

    function report(): void {
        if (counts.size > 0) {
            const calls = [...counts].map(([call, count]) => `${call}=${count}`).join(",");
            logger.info("storeCalls", { periodMs: reportIntervalMs, calls });
            counts.clear();
        }
        clock.startTimer(reportIntervalMs, report);
    }

    /** Without it each copy that is followed would go on asking a store that is away. */
    async function waitForStore(): Promise<boolean> {
        const isFailing = failingSinceMs !== undefined;
        if (isFailing) {
            await clock.sleep(maxRecoveryWaitMs, recovery.signal);
        }
        return isFailing;
    }

    /**
     * While calls fail a cheap one asks first, and only its answer leads to one at the full price: refused calls are
     * charged too. A copy may answer where the store does not, so that the cheap answer alone is no sign that calls
     * succeed again. Each asks without waiting for those before it: a silent store would else be found back only after
     * the last of them is given up.
     */
    async function probeFailingStore(): Promise<void> {
        counts.set("touch:", (counts.get("touch:") ?? 0) + 1);
        const isServed = await touch(true).then(() => true, () => false);
        if (isServed && !isFullProbeRunning && failingSinceMs !== undefined) {
            isFullProbeRunning = true;
            await recordCall("touch", "/", () => touch(false)).catch(() => undefined);
            isFullProbeRunning = false;
        }
    }

    async function probe(): Promise<void> {
        const isFailing = failingSinceMs !== undefined;
        if (isFailing) {
            void probeFailingStore();
        }
        else if (clock.monotonicMs() - answeredAtMs > probeIntervalMs / 2) {
            // A failure shows in the counts and in `silentMs`.
            await recordCall("touch", "/", () => touch(true)).catch(() => undefined);
        }
        clock.startTimer(nextProbeDelayMs(), () => void probe());
    }

    clock.startTimer(probeIntervalMs, () => void probe());
    clock.startTimer(reportIntervalMs, report);
    return {
        store: {
            read: key => callStore("read", key, () => inner.read(key)),
            list: async prefix => {
                await waitForStore();
                return recordCall("list", prefix, () => inner.list(prefix));
            },
            write: (key, value, expected) => callStore("write", key, () => inner.write(key, value, expected)),
            remove: (key, expected) => callStore("remove", key, () => inner.remove(key, expected)),
            watch: async (prefix, revision, waitMs) => {
                await waitForStore();
                return recordCall("watch", prefix, () => inner.watch(prefix, revision, waitMs));
            },
        },
        waitForStore,
        sinceAnswerMs: () => clock.monotonicMs() - answeredAtMs,
        regainedMs: () => clock.monotonicMs() - recoveredAtMs,
        silentMs: () => failingSinceMs === undefined ? 0 : clock.monotonicMs() - failingSinceMs,
    };
}
