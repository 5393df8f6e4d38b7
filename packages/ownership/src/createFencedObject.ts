import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";

/** A write whose answer was lost is sent again; if it took effect, the second comes back as a conflict that shows it. */
const maxAttempts = 3;

interface FencedObjectDeps<T> {
    store: ObjectStore;
    key: string;
    /** Returns what a stored value means; a value nobody can read counts as absent. */
    parse: (value: unknown) => T | undefined;
    fencingOf: (value: T) => number;
    /** False, and the owner's end, if the stored number is newer than the owner's. */
    checkFencing: (seen: number) => boolean;
}

/** An object that only its owner with the highest fencing number can change. */
interface FencedObject<T> {
    /**
     * Replaces the value by what `change` makes of the one that stands; undefined leaves it. Resolves with the
     * value that stands and its version.
     */
    update(
        change: (current: T | undefined) => T | undefined,
    ): Promise<{ value: T | undefined; version: number; }>;
}

/**
 * Makes an object that is fenced at the object API: every change is conditional on the version that was judged, and
 * a new owner's first change moves that version on. So an old owner, paused between its check and its write, has
 * its write refused. A write whose answer was lost comes back as a conflict with one's own value, and is judged anew.
 */
export function createFencedObject<T>(deps: FencedObjectDeps<T>): FencedObject<T> {
    const { store, key, parse } = deps;
    let cached: { value: T | undefined; version: ObjectVersion; } | undefined;

    function updateCache(object: { value: unknown; version: ObjectVersion; } | undefined): void {
        const value = object === undefined ? undefined : parse(object.value);
        cached = { value, version: object?.version ?? 0 as ObjectVersion };
        if (value !== undefined && !deps.checkFencing(deps.fencingOf(value))) {
            throw new ResultError(resultCodes.fenced, key);
        }
    }

    async function write(value: T, expected: ObjectVersion): Promise<WriteOutcome> {
        for (let attempts = 1;; attempts++) {
            try {
                return await store.write(key, value, expected);
            }
            catch (error) {
                const isUnknown = codeOf(error).number === resultCodes.storeUnavailable.number;
                if (!isUnknown || attempts === maxAttempts) {
                    throw error;
                }
            }
        }
    }

    async function update(
        change: (current: T | undefined) => T | undefined,
    ): Promise<{ value: T | undefined; version: number; }> {
        for (;;) {
            if (cached === undefined) {
                updateCache(await store.read(key));
            }
            const standing = cached!;
            const value = change(standing.value);
            if (value === undefined) {
                return standing;
            }
            const outcome = await write(value, standing.version);
            if (outcome.kind === "written") {
                cached = { value, version: outcome.version };
                return cached;
            }
            updateCache(outcome.current);
        }
    }

    return { update };
}
