import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";

/** A write whose answer was lost is sent again; if it took effect, the second comes back as a conflict that shows it. */
const maxTries = 3;

interface FencedObjectDeps<T> {
    store: ObjectStore;
    key: string;
    /** Returns what a stored value means; a value nobody can read counts as absent. */
    parse: (value: unknown) => T | undefined;
    fencingOf: (value: T) => number;
    /** False, and the owner's end, if the stored number is newer than the owner's. */
    noteFencing: (seen: number) => boolean;
}

/** An object that only its owner with the highest fencing number can change. */
interface FencedObject<T> {
    /**
     * Replaces the value by what `change` makes of the one that stands; undefined leaves it. Resolves with the
     * value that stands and its version.
     */
    update(
        change: (standing: T | undefined) => T | undefined,
    ): Promise<{ value: T | undefined; version: number; }>;
}

/**
 * Makes an object that is fenced at the object API: every change is conditional on the version that was judged, and
 * a new owner's first change moves that version on. So an old owner, paused between its check and its write, has
 * its write refused. A write whose answer was lost comes back as a conflict with one's own value, and is judged anew.
 */
export function createFencedObject<T>(deps: FencedObjectDeps<T>): FencedObject<T> {
    const { store, key, parse } = deps;
    let known: { value: T | undefined; version: ObjectVersion; } | undefined;

    function take(object: { value: unknown; version: ObjectVersion; } | undefined): void {
        const value = object === undefined ? undefined : parse(object.value);
        known = { value, version: object?.version ?? 0 as ObjectVersion };
        if (value !== undefined && !deps.noteFencing(deps.fencingOf(value))) {
            throw new ResultError(resultCodes.fenced, key);
        }
    }

    async function write(value: T, expected: ObjectVersion): Promise<WriteOutcome> {
        for (let tries = 1;; tries++) {
            try {
                return await store.write(key, value, expected);
            }
            catch (error) {
                const isUnknown = codeOf(error).number === resultCodes.storeUnavailable.number;
                if (!isUnknown || tries === maxTries) {
                    throw error;
                }
            }
        }
    }

    async function update(
        change: (standing: T | undefined) => T | undefined,
    ): Promise<{ value: T | undefined; version: number; }> {
        for (;;) {
            if (known === undefined) {
                take(await store.read(key));
            }
            const standing = known!;
            const value = change(standing.value);
            if (value === undefined) {
                return standing;
            }
            const outcome = await write(value, standing.version);
            if (outcome.kind === "written") {
                known = { value, version: outcome.version };
                return known;
            }
            take(outcome.current);
        }
    }

    return { update };
}
