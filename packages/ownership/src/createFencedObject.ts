import { attemptChange } from "@auburnarch/errors/attemptChange";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";

/** A write with an unknown outcome is repeated; if the first took effect, the repeat gets a conflict that shows it. */
const maxAttempts = 3;

interface FencedObjectDeps<T> {
    store: ObjectStore;
    key: string;
    /** Parses a stored value; one that can't be parsed counts as absent. */
    parse: (value: unknown) => T | undefined;
    fencingOf: (value: T) => number;
    /** Stops the owner and returns false if the stored fencing number is higher than the owner's. */
    checkFencing: (seen: number) => boolean;
}

/** An object that only the owner with the highest fencing number can change. */
interface FencedObject<T> {
    /**
     * Replaces the stored value by the result of `change`; undefined leaves it as it is. Resolves with the stored
     * value and its version.
     */
    update(
        change: (current: T | undefined) => T | undefined,
    ): Promise<{ value: T | undefined; version: number; }>;
}

/**
 * Creates an object that is fenced at the object API: every write is conditional on the version that was checked,
 * and a new owner's first write raises that version. An old owner that is paused between its check and its write
 * therefore has the write rejected. A repeated write whose first answer was lost gets a conflict that carries the
 * owner's own value; the value is then checked again.
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

    async function write(
        value: T,
        expected: ObjectVersion,
    ): Promise<WriteOutcome & { isRepeated: boolean; }> {
        let unknownError: unknown;
        for (let attempts = 1; attempts <= maxAttempts; attempts++) {
            const attempted = await attemptChange(() => store.write(key, value, expected));
            if (attempted.kind === "answered") {
                return { ...attempted.answer, isRepeated: unknownError !== undefined };
            }
            if (attempted.kind === "unknown") {
                unknownError = attempted.error;
            }
            else if (unknownError === undefined) {
                throw attempted.proof;
            }
        }
        // A refusal of a later attempt proves nothing about an earlier one that was not answered.
        throw unknownError;
    }

    async function update(
        change: (current: T | undefined) => T | undefined,
    ): Promise<{ value: T | undefined; version: number; }> {
        for (;;) {
            if (cached === undefined) {
                updateCache(await store.read(key));
            }
            const current = cached!;
            const value = change(current.value);
            if (value === undefined) {
                return current;
            }
            const outcome = await write(value, current.version);
            if (outcome.kind === "written") {
                cached = { value, version: outcome.version };
                return cached;
            }
            try {
                updateCache(outcome.current);
            }
            catch (error) {
                // `fenced` states that nothing was changed, but the unanswered attempt may have preceded the new owner.
                throw outcome.isRepeated
                    ? new ResultError(resultCodes.storeUnavailable, `${key}: ${String(error)}`)
                    : error;
            }
        }
    }

    return { update };
}
