import { codeOf } from "@auburnarch/errors/codeOf";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";

interface StoreHealth {
    store: ObjectStore;
    /** Milliseconds since the first of the calls that have all failed since; 0 while calls succeed. */
    silentMs(): number;
    /** Milliseconds since it last answered. */
    heardMs(): number;
}

/** Counts calls to the store and notes whether it answers. */
export function createStoreHealth(inner: ObjectStore, clock: Clock, metrics: Metrics): StoreHealth {
    let failingSinceMs: number | undefined;
    let heardAtMs = -Infinity;

    async function note<T>(call: string, key: string, run: () => Promise<T>): Promise<T> {
        const kind = key.slice(0, Math.max(0, key.indexOf("/")));
        const startedAtMs = clock.monotonicMs();
        try {
            const result = await run();
            failingSinceMs = undefined;
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
        silentMs: () => failingSinceMs === undefined ? 0 : clock.monotonicMs() - failingSinceMs,
    };
}
