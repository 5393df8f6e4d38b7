import type { TrainerLateness } from "./TrainerLateness.js";

interface SubmissionTimes {
    /** Wall-clock times of a policy's batch jobs, in any order. */
    submittedAtMs: readonly number[];
    nowMs: number;
}

/** First and last index of consecutive submissions with about equal gaps. */
interface SteadyStretch {
    from: number;
    to: number;
}

/** Limits the work for each estimate; at an interval of 4 s these are the steps of four minutes. */
const maxSubmissions = 64;
/** Gaps of one stretch differ by at most this factor: a trainer's timer is exact, the acceptance varies by 0.2 s. */
const maxGapRatio = 1.1;
/** Two equal gaps in a row are the fewest that distinguish an interval from the pairs of a late trainer. */
const minSteadyGaps = 2;
/** Batch jobs submitted together are not steps in sequence. */
const minIntervalMs = 500;
/** A stretch of this length at the interval sets the schedule anew, since a late trainer submits sooner than that. */
const minScheduleGaps = 4;
const maxPaceDifference = 0.025;
/** No step is open for longer, so the trainer has stopped if it submits nothing for this many intervals. */
const stoppedAfterIntervals = 4;
/** A trainer that is further behind has paused on purpose and continues with a new schedule. */
const maxIntervalsLate = 6;

const gapsOf = ({ from, to }: SteadyStretch): number => to - from;

const paceOf = (times: readonly number[], { from, to }: SteadyStretch): number =>
    (times[to]! - times[from]!) / (to - from);

/** Lists, for each submission, the longest steady stretch that begins there. */
function listSteadyStretches(times: readonly number[]): SteadyStretch[] {
    return times.flatMap((_, from) => {
        let shortestMs = Infinity;
        let longestMs = 0;
        let to = from;
        while (to + 1 < times.length) {
            const gapMs = times[to + 1]! - times[to]!;
            shortestMs = Math.min(shortestMs, gapMs);
            longestMs = Math.max(longestMs, gapMs);
            if (shortestMs < minIntervalMs || longestMs > shortestMs * maxGapRatio) {
                break;
            }
            to++;
        }
        return to - from >= minSteadyGaps ? [{ from, to }] : [];
    });
}

/**
 * Returns the interval of the longest stretch. A stretch may end in steps that are slightly late, so its shortest mean
 * gap counts; means over less than a third of it vary too much.
 */
function learnInterval(times: readonly number[], stretch: SteadyStretch): number {
    const minGaps = Math.max(minSteadyGaps, Math.ceil(gapsOf(stretch) / 3));
    let intervalMs = Infinity;
    for (let to = stretch.from + minGaps; to <= stretch.to; to++) {
        intervalMs = Math.min(intervalMs, paceOf(times, { from: stretch.from, to }));
    }
    return intervalMs;
}

/**
 * Estimates how far a trainer is behind its own schedule. A late trainer submits its steps in pairs, and while it
 * catches up it submits them faster than its interval. The interval is therefore learned from the longest stretch of
 * equal gaps, and the schedule starts at the latest such stretch. Returns undefined for a trainer that has just started
 * or has stopped.
 */
export function estimateLateness({ submittedAtMs, nowMs }: SubmissionTimes): TrainerLateness | undefined {
    const times = [...submittedAtMs].sort((a, b) => a - b).slice(-maxSubmissions);
    const stretches = listSteadyStretches(times);
    if (stretches.length === 0) {
        return undefined;
    }
    const longest = stretches.reduce((best, each) => gapsOf(each) > gapsOf(best) ? each : best);
    const intervalMs = learnInterval(times, longest);
    const newest = times.length - 1;
    if (nowMs - times[newest]! > stoppedAfterIntervals * intervalMs) {
        return undefined;
    }
    const schedule = stretches.findLast(each =>
        gapsOf(each) >= minScheduleGaps
        && Math.abs(paceOf(times, each) - intervalMs) <= intervalMs * maxPaceDifference
    ) ?? longest;
    const startsAtMs = Math.min(
        ...times.slice(schedule.from, schedule.to + 1).map((time, at) => time - at * intervalMs),
    );
    const behindMs = times[newest]! - startsAtMs - (newest - schedule.from) * intervalMs;
    const isNewSchedule = behindMs > maxIntervalsLate * intervalMs;
    return { intervalMs, latenessMs: isNewSchedule ? 0 : Math.max(0, behindMs) };
}
