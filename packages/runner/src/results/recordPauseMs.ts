interface RecordingState {
    /** Items of the job, and those that have a result. */
    total: number;
    made: number;
    /** Whether what the trainer waits for is made; undefined where it is not known what that is. */
    isNeedMet: boolean | undefined;
    /** Whether it is recorded too. */
    isNeedRecorded: boolean;
    /** Time left until the step is due. */
    untilDueMs: number;
    /** How long the first of the results has waited. */
    waitedMs: number;
}

/**
 * Before a trainer has all that it waits for, what is made is of no use to it: the record only guards against the loss
 * of a VM with its disk, which costs what was made in this time once more.
 */
const unmetPauseMs = 1_000;
/** Nobody waits for what is made beyond that. */
const surplusPauseMs = 1_000;
/**
 * A group earns only if it can be read when its step is due. Time for a record, for the answer to a waiting reader and
 * for the reader that asks twice a second.
 */
const dueMarginMs = 500;
const minUnmetPauseMs = 200;

/** Where it is not known what a trainer waits for: results gather for this long, and for less towards the end. */
const defaultPauseMs = 350;
const finalPauseMs = 80;
const finalPhaseRatio = 0.75;
/** Behind the last items nothing comes that could share their record. */
const unpausedItems = 3;

function pauseForUnknownNeedMs(made: number, total: number): number {
    if (made >= total - unpausedItems) {
        return 0;
    }
    return made > finalPhaseRatio * total ? finalPauseMs : defaultPauseMs;
}

/**
 * How long a result waits for others to share its record. Each record is a call to the store, and a reader that is told
 * of every few results spends its time between two questions: when the last one that it needs comes, it asks half a
 * second later. So what completes a trainer's need is recorded at once, and all else gathers, for as long as it can still
 * be read when the step is due.
 */
export function recordPauseMs(state: RecordingState): number {
    const { total, made, isNeedMet, isNeedRecorded, untilDueMs, waitedMs } = state;
    if (isNeedMet === undefined) {
        return pauseForUnknownNeedMs(made, total);
    }
    if (made >= total || isNeedMet && !isNeedRecorded) {
        return 0;
    }
    if (isNeedMet) {
        return surplusPauseMs;
    }
    return Math.min(unmetPauseMs, Math.max(minUnmetPauseMs, waitedMs + untilDueMs - dueMarginMs));
}
