import type { ChangeOutcome } from "./ChangeOutcome.js";

/** Tracks changes whose outcome is not known. */
interface UnresolvedChanges {
    /**
     * Makes a change. One that is refused while another one is unresolved has an unknown outcome too, and one that is
     * refused after another one has succeeded meanwhile is done. A rejection states that nothing was changed; it is
     * passed on only where a refusal would be.
     */
    track<Other extends { kind: "absent"; }>(
        key: string,
        change: () => Promise<ChangeOutcome | Other>,
    ): Promise<ChangeOutcome | Other>;
}

/** The attempts to make one change. */
interface Attempts {
    /** Attempts that may take effect: those under way, and those with an unknown outcome. */
    unresolved: number;
    /** One has succeeded; those under way still refer to this record. */
    isDone: boolean;
}

/** Far more than the batch jobs that are submitted while a client repeats one. */
const maxEntries = 1_024;

/**
 * Creates the tracker of one kind of change. A client repeats a batch job whose acceptance or end is unknown; if the
 * repeat is refused, the batch job may run or end all the same because of the earlier attempt.
 */
export function createUnresolvedChanges(): UnresolvedChanges {
    const attemptsById = new Map<string, Attempts>();

    function begin(key: string): Attempts {
        const attempts = attemptsById.get(key) ?? { unresolved: 0, isDone: false };
        attempts.unresolved++;
        attemptsById.delete(key);
        attemptsById.set(key, attempts);
        if (attemptsById.size > maxEntries) {
            attemptsById.delete(attemptsById.keys().next().value!);
        }
        return attempts;
    }

    function forget(key: string, attempts: Attempts): void {
        if (attemptsById.get(key) === attempts) {
            attemptsById.delete(key);
        }
    }

    /** What an attempt that has changed nothing says of all; undefined if none of them can take effect. */
    function settleUnchanged(
        key: string,
        attempts: Attempts,
        error: unknown,
    ): ChangeOutcome | undefined {
        attempts.unresolved--;
        if (attempts.isDone) {
            return { kind: "done" };
        }
        if (attempts.unresolved > 0) {
            return { kind: "unknown", error };
        }
        forget(key, attempts);
        return undefined;
    }

    return {
        track: async (key, change) => {
            const attempts = begin(key);
            const outcome = await change().catch((error: unknown) => {
                const settled = settleUnchanged(key, attempts, error);
                if (settled === undefined) {
                    throw error;
                }
                return settled;
            });
            if (outcome.kind === "done") {
                attempts.isDone = true;
                forget(key, attempts);
            }
            else if (outcome.kind === "refused") {
                return settleUnchanged(key, attempts, outcome.proof) ?? outcome;
            }
            else if (outcome.kind === "absent") {
                settleUnchanged(key, attempts, undefined);
            }
            return outcome;
        },
    };
}
