import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Clock } from "@auburnarch/types/Clock";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Random } from "@auburnarch/types/Random";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { KnownOutcome } from "./KnownOutcome.js";
import { readStamp } from "./readStamp.js";
import type { StampedWrite } from "./StampedWrite.js";

interface WriterDeps {
    store: ObjectStore;
    clock: Clock;
    random: Random;
    /** Total number of attempts; the response to any of them may be lost. */
    maxAttempts?: number;
}

const firstPauseMs = 100;
const maxPauseMs = 3_000;

const isOwn = (object: StoredObject | undefined, write: StampedWrite): object is StoredObject => {
    const stamp = readStamp(object?.value);
    return stamp?.writer === write.stamp.writer && stamp.sequence === write.stamp.sequence;
};

/**
 * Writes until it is known whether the write took effect. A lost response looks like a failure, and treating it as one
 * would repeat or abandon a write that took effect. The same conditional write is therefore sent again, which cannot
 * take effect twice; a conflict with this write's stamp means that an earlier attempt did. Rejects after `maxAttempts` or
 * once `signal` is aborted: with the error of the last attempt whose outcome is unknown, or if all were refused, with
 * that of the last one.
 */
export async function writeUntilKnown(
    deps: WriterDeps,
    write: StampedWrite,
    signal?: AbortSignal,
): Promise<KnownOutcome> {
    const { store, clock, random, maxAttempts = 5 } = deps;
    const value = { ...write.value, stamp: write.stamp };
    let unknownError: unknown;
    let pauseMs = firstPauseMs;
    for (let attempts = 1;; attempts++) {
        try {
            const outcome = await store.write(write.key, value, write.expectedVersion);
            if (outcome.kind === "written") {
                return outcome;
            }
            if (isOwn(outcome.current, write)) {
                return { kind: "written", version: outcome.current.version };
            }
            return { ...outcome, mayHaveTakenEffect: unknownError !== undefined };
        }
        catch (error) {
            const code = codeOf(error);
            const isTransient = code === resultCodes.storeUnavailable || code === resultCodes.storeThrottled;
            if (code !== resultCodes.storeThrottled) {
                unknownError = error;
            }
            if (!isTransient || attempts >= maxAttempts || signal?.aborted === true) {
                throw unknownError ?? error;
            }
        }
        await clock.sleep(pauseMs * (0.5 + random.nextUnit()), signal);
        pauseMs = Math.min(maxPauseMs, pauseMs * 2);
    }
}
