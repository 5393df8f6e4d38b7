import type { Clock } from "@auburnarch/types/Clock";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredChange } from "@auburnarch/types/StoredChange";
import type { StoredObject } from "@auburnarch/types/StoredObject";

interface FollowPrefixOptions {
    store: Pick<ObjectStore, "list" | "watch">;
    clock: Clock;
    /** All objects whose key begins with this. */
    prefix: string;
    /** Longest wait of one watch. */
    waitMs: number;
    /** Pause after each answered watch, so that changes close together cost one call. */
    gatherMs: () => number;
    /** Every object there is; what is absent was removed. `sentAtMs`: when the answered call was sent. */
    onListed: (
        objects: Pick<StoredObject, "key" | "version" | "value">[],
        revision: ObjectVersion,
        sentAtMs: number,
    ) => void;
    /** Changes since the last answer; none if the wait ended without one. */
    onChanged: (changes: StoredChange[], revision: ObjectVersion, sentAtMs: number) => void;
    onFailed: (error: unknown) => void;
}

/** After a failed call. Short, because outages end without notice and changes are due within two seconds. */
const retryMs = 150;

/**
 * Lists the objects under a prefix and then follows their changes; after a failed call it lists anew. A store that
 * forgets its history cuts its watches, and one begun at that moment on an old revision hears nothing for its whole
 * wait, so that a change of the configuration would be in force too late. A list says what stands at once. The returned function ends it.
 */
export function followPrefix(options: FollowPrefixOptions): () => void {
    const { store, clock, prefix, waitMs, gatherMs } = options;
    const stopped = new AbortController();
    let revision: ObjectVersion | undefined;
    let isListDue = true;

    /** An older list, from a process that is behind, takes nothing back: the next one is asked for after a pause. */
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
                await clock.sleep(gatherMs(), stopped.signal);
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
