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
    /** Milliseconds since calls began to succeed again after failures; infinite if none failed yet. */
    regainedMs(): number;
}

/** Every call is charged; this line tells which ones. */
const reportIntervalMs = 10_000;

/** Counts calls to the store and notes whether it answers. */
export function createStoreHealth(
    inner: ObjectStore,
    clock: Clock,
    metrics: Metrics,
    logger: Logger,
): StoreHealth {
    const counts = new Map<string, number>();
    let failingSinceMs: number | undefined;
    let heardAtMs = -Infinity;
    let regainedAtMs = -Infinity;

    async function note<T>(call: string, key: string, run: () => Promise<T>): Promise<T> {
        const kind = key.slice(0, Math.max(0, key.indexOf("/")));
        const startedAtMs = clock.monotonicMs();
        counts.set(`${call}:${kind}`, (counts.get(`${call}:${kind}`) ?? 0) + 1);
        try {
            const result = await run();
            if (failingSinceMs !== undefined) {
                failingSinceMs = undefined;
                regainedAtMs = clock.monotonicMs();
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

    function report(): void {
        if (counts.size > 0) {
            const calls = [...counts].map(([call, count]) => `${call}=${count}`).join(",");
            logger.info("storeCalls", { periodMs: reportIntervalMs, calls });
            counts.clear();
        }
        clock.startTimer(reportIntervalMs, report);
    }

    clock.startTimer(reportIntervalMs, report);
    return {
        store: {
            read: key => note("read", key, () => inner.read(key)),
            list: prefix => note("list", prefix, () => inner.list(prefix)),
            write: (key, value, expected) => note("write", key, () => inner.write(key, value, expected)),
            remove: (key, expected) => note("remove", key, () => inner.remove(key, expected)),
            watch: (prefix, revision, waitMs) =>
                note("watch", prefix, () => inner.watch(prefix, revision, waitMs)),
        },
        heardMs: () => clock.monotonicMs() - heardAtMs,
        regainedMs: () => clock.monotonicMs() - regainedAtMs,
        silentMs: () => failingSinceMs === undefined ? 0 : clock.monotonicMs() - failingSinceMs,
    };
}
