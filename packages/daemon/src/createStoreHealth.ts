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
    heardMs(): number;
    /** Resolves once calls succeed, at once where they do, or have failed for long; true if they failed at first. */
    waitUntilServed(): Promise<boolean>;
    /** Milliseconds since calls began to succeed again after failures; infinite if none failed yet. */
    regainedMs(): number;
}

/**
 * Where other calls are rare, a process would not notice that the store turns it away. A runner that hands changes on
 * has a second to notice; the call costs a tenth of others.
 */
const touchIntervalMs = 500;
/** A process that neither read nor wrote for this long is idle, and asks as seldom as its role allows. */
const idleAfterMs = 10_000;
/** While calls fail. Others wait for the first one that succeeds, so that an outage costs four calls a second. */
const retryTouchIntervalMs = 250;
/**
 * Longest wait of a list or watch for the store to come back. A sign of life ends it; without one a call would be
 * refused like the others, and charged.
 */
const heldBackMs = 5_000;

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
    idleTouchIntervalMs: number = touchIntervalMs,
): StoreHealth {
    const counts = new Map<string, number>();
    let failingSinceMs: number | undefined;
    let heardAtMs = -Infinity;
    let isAskedInFull = false;
    let usedAtMs = clock.monotonicMs();
    let regainedAtMs = -Infinity;
    let regained = new AbortController();

    async function note<T>(call: string, key: string, run: () => Promise<T>): Promise<T> {
        const kind = key.slice(0, Math.max(0, key.indexOf("/")));
        const startedAtMs = clock.monotonicMs();
        counts.set(`${call}:${kind}`, (counts.get(`${call}:${kind}`) ?? 0) + 1);
        try {
            const result = await run();
            if (failingSinceMs !== undefined) {
                failingSinceMs = undefined;
                regainedAtMs = clock.monotonicMs();
                regained.abort();
                regained = new AbortController();
            }
            heardAtMs = clock.monotonicMs();
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

    function use<T>(call: string, key: string, run: () => Promise<T>): Promise<T> {
        usedAtMs = clock.monotonicMs();
        return note(call, key, run);
    }

    function beatIntervalMs(): number {
        if (failingSinceMs !== undefined) {
            return retryTouchIntervalMs;
        }
        return clock.monotonicMs() - usedAtMs > idleAfterMs ? idleTouchIntervalMs : touchIntervalMs;
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
    async function waitUntilServed(): Promise<boolean> {
        const isFailing = failingSinceMs !== undefined;
        if (isFailing) {
            await clock.sleep(heldBackMs, regained.signal);
        }
        return isFailing;
    }

    /**
     * While calls fail a cheap one asks first, and only its answer leads to one at the full price: refused calls are
     * charged too. A copy may answer where the store does not, so that the cheap answer alone is no sign that calls
     * succeed again. Each asks without waiting for those before it: a silent store would else be found back only after
     * the last of them is given up.
     */
    async function touchFailing(): Promise<void> {
        counts.set("touch:", (counts.get("touch:") ?? 0) + 1);
        const isServed = await touch(true).then(() => true, () => false);
        if (isServed && !isAskedInFull && failingSinceMs !== undefined) {
            isAskedInFull = true;
            await note("touch", "/", () => touch(false)).catch(() => undefined);
            isAskedInFull = false;
        }
    }

    async function beat(): Promise<void> {
        const isFailing = failingSinceMs !== undefined;
        if (isFailing) {
            void touchFailing();
        }
        else if (clock.monotonicMs() - heardAtMs > touchIntervalMs / 2) {
            // A failure shows in the counts and in `silentMs`.
            await note("touch", "/", () => touch(true)).catch(() => undefined);
        }
        clock.startTimer(beatIntervalMs(), () => void beat());
    }

    clock.startTimer(touchIntervalMs, () => void beat());
    clock.startTimer(reportIntervalMs, report);
    return {
        store: {
            read: key => use("read", key, () => inner.read(key)),
            list: async prefix => {
                await waitUntilServed();
                return note("list", prefix, () => inner.list(prefix));
            },
            write: (key, value, expected) => use("write", key, () => inner.write(key, value, expected)),
            remove: (key, expected) => use("remove", key, () => inner.remove(key, expected)),
            watch: async (prefix, revision, waitMs) => {
                await waitUntilServed();
                return note("watch", prefix, () => inner.watch(prefix, revision, waitMs));
            },
        },
        waitUntilServed,
        heardMs: () => clock.monotonicMs() - heardAtMs,
        regainedMs: () => clock.monotonicMs() - regainedAtMs,
        silentMs: () => failingSinceMs === undefined ? 0 : clock.monotonicMs() - failingSinceMs,
    };
}
