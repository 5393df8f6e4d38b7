import { followPrefix } from "@auburnarch/discovery/followPrefix";
import type { Clock } from "@auburnarch/types/Clock";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredChange } from "@auburnarch/types/StoredChange";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { KindCopy } from "./KindCopy.js";

interface KindCopyOptions {
    store: Pick<ObjectStore, "list" | "watch">;
    clock: Clock;
    /** The kind and a slash. */
    prefix: string;
    /** Longest wait of one watch. */
    waitMs: number;
    /** Delay after a change, so that changes close together cost one call to the store. */
    coalesceMs: number;
}

interface ChangeBatch {
    revision: ObjectVersion;
    changes: StoredChange[];
}

/** Maximum of change batches kept; a process that is further behind gets all objects. */
const maxBatches = 200;

/** Creates a copy that follows a kind and keeps its recent changes. */
export function createKindCopy({ store, clock, prefix, waitMs, coalesceMs }: KindCopyOptions): KindCopy {
    let objects = new Map<string, StoredObject>();
    let revision: ObjectVersion | undefined;
    /** Oldest first; all changes after `changesSince`. */
    let batches: ChangeBatch[] = [];
    let changesSince = 0 as ObjectVersion;
    let confirmedAtMs = clock.monotonicMs();
    let changed = new AbortController();

    function wakeWaiters(): void {
        changed.abort();
        changed = new AbortController();
    }

    function applyList(found: StoredObject[], at: ObjectVersion): void {
        confirmedAtMs = clock.monotonicMs();
        objects = new Map(found.map(object => [object.key, object]));
        batches = [];
        changesSince = at;
        revision = at;
        wakeWaiters();
    }

    function applyChange({ key, version, value }: StoredChange): void {
        if (value === undefined) {
            objects.delete(key);
        }
        else {
            objects.set(key, { key, version, value });
        }
    }

    function applyChanges(changes: StoredChange[], at: ObjectVersion): void {
        confirmedAtMs = clock.monotonicMs();
        revision = at;
        if (changes.length === 0) {
            return;
        }
        changes.forEach(applyChange);
        batches.push({ revision: at, changes });
        if (batches.length > maxBatches) {
            changesSince = batches.shift()!.revision;
        }
        wakeWaiters();
    }

    const stop = followPrefix({
        store,
        clock,
        prefix,
        waitMs,
        coalesceMs: () => coalesceMs,
        onListed: applyList,
        onChanged: applyChanges,
        // Failures are logged and counted with the store's calls, and show here in the age of the copy.
        onFailed: () => undefined,
    });

    return {
        hasChanges: since => revision !== undefined && (since === undefined || revision > since),
        answer: query => {
            const { since } = query;
            if (revision === undefined) {
                return { kind: "unsure" };
            }
            if (since === undefined || since < changesSince) {
                const matching = [...objects.values()].filter(({ key }) => key.startsWith(query.prefix));
                return { kind: "listed", objects: matching, revision };
            }
            const changes = batches
                .filter(batch => batch.revision > since)
                .flatMap(batch => batch.changes)
                .filter(({ key }) => key.startsWith(query.prefix));
            // A process that was fed by another runner may be ahead of this copy; its revision must not go back.
            return { kind: "changed", changes, revision: revision > since ? revision : since };
        },
        ageMs: () => clock.monotonicMs() - confirmedAtMs,
        nextChange: () => changed.signal,
        wakeWaiters,
        stop: () => {
            stop();
            wakeWaiters();
        },
    };
}
