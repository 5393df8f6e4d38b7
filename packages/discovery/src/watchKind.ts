import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredChange } from "@auburnarch/types/StoredChange";
import { followPrefix } from "./followPrefix.js";
import type { WatchedKind } from "./WatchedKind.js";

interface WatchKindOptions<T> {
    store: ObjectStore;
    clock: Clock;
    logger: Logger;
    /** Name of the kind; its objects are those whose key begins with it and a slash. */
    kind: string;
    /** Decodes an object; one for which it returns undefined is skipped and logged. */
    decode: (name: string, value: unknown) => T | undefined;
    /** Maximum wait of one watch; `defaultWaitMs` by default. */
    waitMs?: number;
    /** Pause after each list and each watch with changes, so that changes in quick succession cost one call. */
    coalesceMs?: () => number;
}

/**
 * Maximum wait of one watch. A connection may stop delivering data without being reset, which is detected when a watch
 * is overdue, so this bounds how long a change can go unnoticed. It is below the four seconds in which a VM has to
 * receive a change after such a fault: three until it counts as healthy again plus two to apply the change, minus a
 * margin of one second.
 */
const defaultWaitMs = 3_500;

/**
 * Maintains a copy of one kind by list and watch. A watch whose history was discarded returns a full list. Objects that
 * were removed while the store was unreachable are detected by the next list.
 */
export function watchKind<T>(options: WatchKindOptions<T>): WatchedKind<T> {
    const { store, clock, logger, kind, decode, coalesceMs = () => 0, waitMs = defaultWaitMs } = options;
    const prefix = `${kind}/`;
    const objects = new Map<string, T>();
    /** Versions of present objects that could not be decoded, by name. */
    const undecodable = new Map<string, ObjectVersion>();
    const listeners = new Set<() => void>();
    let isStopped = false;
    let revision: ObjectVersion | undefined;
    let confirmedAtMs = -Infinity;
    let isReachable = true;

    /** Logs each version once; a repeated list returns unchanged objects again. */
    function recordUndecodable(name: string, version: ObjectVersion): void {
        if (undecodable.get(name) !== version) {
            undecodable.set(name, version);
            logger.warn("objectNotUnderstood", { kind, object: name, revision: version });
        }
    }

    function applyChange({ key, version, value }: StoredChange): void {
        const name = key.slice(prefix.length);
        const decoded = value === undefined ? undefined : decode(name, value);
        if (decoded !== undefined) {
            objects.set(name, decoded);
            undecodable.delete(name);
            return;
        }
        objects.delete(name);
        if (value === undefined) {
            undecodable.delete(name);
        }
        else {
            recordUndecodable(name, version);
        }
    }

    function replaceAll(found: StoredChange[]): void {
        objects.clear();
        const present = new Set(found.map(object => object.key.slice(prefix.length)));
        [...undecodable.keys()].filter(name => !present.has(name)).forEach(name => undecodable.delete(name));
        found.forEach(applyChange);
    }

    function recordReachable(): void {
        if (!isReachable) {
            isReachable = true;
            logger.info("storeRegained", { kind, revision });
        }
    }

    function recordFailure(error: unknown): void {
        if (isReachable) {
            isReachable = false;
            const { number, name } = codeOf(error);
            logger.warn("storeLost", {
                kind,
                code: number,
                name,
                copyAgeMs: Math.round(clock.monotonicMs() - confirmedAtMs),
            });
        }
    }

    function recordAnswer(at: ObjectVersion, sentAtMs: number): void {
        recordReachable();
        revision = at;
        confirmedAtMs = sentAtMs;
    }

    function notifyListeners(): void {
        if (!isStopped) {
            listeners.forEach(listener => listener());
        }
    }

    const stop = followPrefix({
        store,
        clock,
        prefix,
        waitMs,
        coalesceMs,
        onListed: (found, at, sentAtMs) => {
            recordAnswer(at, sentAtMs);
            replaceAll(found);
            logger.info("kindListed", { kind, objects: objects.size, revision });
            notifyListeners();
        },
        onChanged: (changes, at, sentAtMs) => {
            recordAnswer(at, sentAtMs);
            changes.forEach(applyChange);
            if (changes.length > 0) {
                notifyListeners();
            }
        },
        onFailed: recordFailure,
    });
    return {
        objects: () => revision === undefined ? undefined : objects,
        ageMs: () => clock.monotonicMs() - confirmedAtMs,
        onChange: listener => {
            listeners.add(listener);
            return () => void listeners.delete(listener);
        },
        stop: () => {
            isStopped = true;
            stop();
        },
    };
}
