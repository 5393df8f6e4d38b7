import { pauseAfterBreaks } from "@auburnarch/transport/pauseAfterBreaks";

/** Reported ages are inexact by the time that messages take. */
const toleranceRatio = 0.9;

/**
 * Counts breaks for the pause of a content, given their times in ascending order. One that came before the pause after
 * the earlier ones was over adds nothing: a harmless content that is sent often breaks off at several samplers at once
 * when these end for another reason, and only an attempt after the pause tells more about it.
 */
export function countFailedRounds(breakTimesMs: readonly number[]): number {
    let rounds = 0;
    let latestMs = -Infinity;
    for (const atMs of breakTimesMs) {
        if (atMs - latestMs >= toleranceRatio * pauseAfterBreaks(rounds)) {
            rounds++;
        }
        latestMs = atMs;
    }
    return rounds;
}
