import type { Clock } from "@auburnarch/types/Clock";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredChange } from "@auburnarch/types/StoredChange";
import type { StoredObject } from "@auburnarch/types/StoredObject";

interface FollowPrefixOptions {
    store: Pick<ObjectStore, "list" | "watch">;
    clock: Clock;
    /** Key prefix of the followed objects. */
    prefix: string;
    /** Maximum wait of one watch. */
    waitMs: number;
    /** Pause after each list and each watch with changes, so that changes in quick succession cost one call. */
    coalesceMs: () => number;
    /** Receives all objects; absent ones were removed. `sentAtMs` is the time at which the call was sent. */
    onListed: (
        objects: Pick<StoredObject, "key" | "version" | "value">[],
        revision: ObjectVersion,
        sentAtMs: number,
    ) => void;
    /** Receives the changes since the last response; none if the wait ended without a change. */
    onChanged: (changes: StoredChange[], revision: ObjectVersion, sentAtMs: number) => void;
    onFailed: (error: unknown) => void;
}

/** Pause after a failed call; short because the end of an outage is not announced and changes are due within 2 s. */
const retryMs = 150;

/**
 * Lists the objects under a prefix and then follows their changes; after a failed call it lists again. A store that
 * discards its history ends its watches, and a watch started at that moment from an old revision receives nothing for
 * its whole wait, so that a configuration change would take effect too late. A list returns the current state at once.
 * The returned function stops following.
 */
export function followPrefix(options: FollowPrefixOptions): () => void {
    const { store, clock, prefix, waitMs, coalesceMs } = options;
    const stopped = new AbortController();
    let revision: ObjectVersion | undefined;
    let isListDue = true;

    /** Ignores an older list, from a store process that lags behind, and lists again after a pause. */
    async function listOnce(): Promise<void> {
        const sentAtMs = clock.monotonicMs();
        const found = await store.list(prefix);
        if (revision !== undefined && found.revision < revision) {
            await clock.sleep(retryMs, stopped.signal);
            return;
        }
        revision = found.revision;
        isListDue = false;
        options.onListed(found.objects, found.revision, sentAtMs);
    }

    async function watchOnce(since: ObjectVersion): Promise<boolean> {
        const sentAtMs = clock.monotonicMs();
        const found = await store.watch(prefix, since, waitMs);
        revision = found.revision;
        if (found.relisted === true) {
            options.onListed(found.changes, found.revision, sentAtMs);
            return true;
        }
        options.onChanged(found.changes, found.revision, sentAtMs);
        return found.changes.length > 0;
    }

    async function followOnce(): Promise<void> {
        try {
            const isChanged = revision === undefined || isListDue
                ? await listOnce().then(() => true)
                : await watchOnce(revision);
            if (isChanged) {
                await clock.sleep(coalesceMs(), stopped.signal);
            }
        }
        catch (error) {
            isListDue = true;
            options.onFailed(error);
            await clock.sleep(retryMs, stopped.signal);
        }
    }

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            await followOnce();
        }
    }

    void run();
    return () => stopped.abort();
}
