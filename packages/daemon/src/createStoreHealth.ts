import { codeOf } from "@auburnarch/errors/codeOf";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";

interface StoreHealth {
    store: ObjectStore;
    /** Milliseconds since the first of the current run of failed calls; 0 while calls succeed. */
    silentMs(): number;
    /**
     * Milliseconds for which a call has been waiting without any answer of the store; 0 if none is waiting. Lists and
     * watches don't count, since they may take long.
     */
    unansweredMs(): number;
    /** Milliseconds since the store last answered a call. */
    sinceAnswerMs(): number;
    /**
     * Resolves at once if calls succeed, otherwise when they do again or after a timeout; true if calls were failing.
     */
    waitForStore(): Promise<boolean>;
    /** Milliseconds since calls succeeded again after failures; infinite if none has failed yet. */
    sinceRecoveryMs(): number;
}

/**
 * Without probes, a process that makes few calls would not notice that the store refuses it. A runner that feeds other
 * processes must notice within a second. A probe costs a tenth of other calls.
 */
const defaultProbeIntervalMs = 500;
/** A process without reads and writes for this long is idle and probes at the idle interval of its role. */
const idleAfterMs = 10_000;
/** Probe interval while calls fail. Lists and watches wait for a probe, so an outage costs four calls per second. */
const retryProbeIntervalMs = 250;
/**
 * Longest wait of a list or watch for the store to recover. A successful probe ends the wait; without one a call would
 * be refused like the others, and charged.
 */
const maxRecoveryWaitMs = 5_000;

/** Interval of the log line that counts calls by kind; every call is charged. */
const reportIntervalMs = 10_000;

/**
 * Wraps the store, counts its calls and tracks whether it answers; `touch` sends a probe. The cost of probes grows with
 * the number of processes, so a process that does not use the store may probe less often: it notices an outage later,
 * but has no calls to refuse until then.
 */
export function createStoreHealth(
    inner: ObjectStore,
    touch: (isCheap: boolean) => Promise<void>,
    clock: Clock,
    metrics: Metrics,
    logger: Logger,
    idleProbeIntervalMs?: number,
    probeIntervalMs: number = defaultProbeIntervalMs,
): StoreHealth {
    const counts = new Map<string, number>();
    /** Calls without an answer so far, by the time at which they were sent, oldest first. */
    const waiting = new Set<{ sentAtMs: number; }>();
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

    function recordShortCall<T>(call: string, key: string, run: () => Promise<T>): Promise<T> {
        const sent = { sentAtMs: clock.monotonicMs() };
        waiting.add(sent);
        return recordCall(call, key, run).finally(() => waiting.delete(sent));
    }

    function callStore<T>(call: string, key: string, run: () => Promise<T>): Promise<T> {
        usedAtMs = clock.monotonicMs();
        return recordShortCall(call, key, run);
    }

    function unansweredMs(): number {
        const [oldest] = waiting;
        return oldest === undefined
            ? 0
            : Math.max(0, clock.monotonicMs() - Math.max(answeredAtMs, oldest.sentAtMs));
    }

    function nextProbeDelayMs(): number {
        if (failingSinceMs !== undefined) {
            return retryProbeIntervalMs;
        }
        const isIdle = clock.monotonicMs() - usedAtMs > idleAfterMs;
        return isIdle ? idleProbeIntervalMs ?? probeIntervalMs : probeIntervalMs;
    }

    function report(): void {
        if (counts.size > 0) {
            const calls = [...counts].map(([call, count]) => `${call}=${count}`).join(",");
            logger.info("storeCalls", { periodMs: reportIntervalMs, calls });
            counts.clear();
        }
        clock.startTimer(reportIntervalMs, report);
    }

    /** Without this wait, every watched kind would keep calling an unreachable store. */
    async function waitForStore(): Promise<boolean> {
        const isFailing = failingSinceMs !== undefined;
        if (isFailing) {
            await clock.sleep(maxRecoveryWaitMs, recovery.signal);
        }
        return isFailing;
    }

    /**
     * While calls fail, a cheap probe is sent first, and one at the full price only if it is answered, because refused
     * calls are charged too. A replica may answer the cheap probe while the store does not, so its answer alone does
     * not show that calls succeed again. Probes do not wait for earlier ones: otherwise the recovery of a silent store
     * would be noticed only after the pending probe has timed out.
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
            // A failure is visible in the metrics and in `silentMs`.
            await recordShortCall("touch", "/", () => touch(true)).catch(() => undefined);
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
        unansweredMs,
        sinceAnswerMs: () => clock.monotonicMs() - answeredAtMs,
        sinceRecoveryMs: () => clock.monotonicMs() - recoveredAtMs,
        silentMs: () => failingSinceMs === undefined ? 0 : clock.monotonicMs() - failingSinceMs,
    };
}
