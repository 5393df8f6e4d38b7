interface RecordingState {
    /** Number of items of the batch job, and of those that have a result. */
    total: number;
    finished: number;
    /** Whether the groups that the trainer waits for are complete; undefined if those are not known. */
    isNeedMet: boolean | undefined;
    /** Whether these groups are also recorded. */
    isNeedRecorded: boolean;
    /** Time left until the step is due. */
    untilDueMs: number;
    /** Time for which the first of the pending results has waited. */
    waitedMs: number;
}

/**
 * Pause while groups that the trainer waits for are incomplete. The results are of no use to it yet: recording them
 * only protects against the loss of a VM with its disk, which costs generating the results of this time again.
 */
const unmetPauseMs = 1_000;
/** Pause for results beyond those that the trainer waits for. */
const surplusPauseMs = 1_000;
/**
 * A group only counts if it can be read when its step is due. Time for recording, for answering a waiting reader, and
 * for a reader that polls twice a second.
 */
const dueMarginMs = 500;
const minUnmetPauseMs = 200;

/** Pauses if it is not known what the trainer waits for; shorter towards the end of the batch job. */
const defaultPauseMs = 350;
const finalPauseMs = 80;
const finalPhaseRatio = 0.75;
/** After the last items no result follows that could share their chunk. */
const unpausedItems = 3;

function pauseForUnknownNeedMs(finished: number, total: number): number {
    if (finished >= total - unpausedItems) {
        return 0;
    }
    return finished > finalPhaseRatio * total ? finalPauseMs : defaultPauseMs;
}

/**
 * Time for which a result waits for others to share its chunk. Each chunk costs a store call. It also answers the
 * waiting reader, whose next poll comes up to half a second later: if the reader is answered for every few results,
 * the last result that it needs is likely to be added between two polls. Results that complete a trainer's need are
 * therefore recorded at once, and all others are batched for as long as they can still be read when the step is due.
 */
export function recordPauseMs(state: RecordingState): number {
    const { total, finished, isNeedMet, isNeedRecorded, untilDueMs, waitedMs } = state;
    if (isNeedMet === undefined) {
        return pauseForUnknownNeedMs(finished, total);
    }
    if (finished >= total || isNeedMet && !isNeedRecorded) {
        return 0;
    }
    if (isNeedMet) {
        return surplusPauseMs;
    }
    return Math.min(unmetPauseMs, Math.max(minUnmetPauseMs, waitedMs + untilDueMs - dueMarginMs));
}
