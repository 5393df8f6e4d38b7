import type { FailureDetector } from "./FailureDetector.js";
import type { MembershipTiming } from "./MembershipTiming.js";

interface Subject {
    lastAliveAtMs: number;
    /** Running mean of the gap between two signs of life, and of the deviation from it. */
    meanGapMs: number;
    deviationMs: number;
    expectedGapMs: number;
    failedConnections: number;
}

/** Weight of the latest gap in the running means. */
const gapWeight = 0.2;
/** Mean deviations above the usual gap that a silence may last without suspicion. */
const deviationsAllowed = 4;
const gapsAllowed = 3;
/** Failed connections since the last sign of life that cause suspicion regardless of the silence. */
const failedConnectionsToSuspect = 2;

type Verdict = ReturnType<FailureDetector["judge"]> extends ReadonlyMap<string, infer V> ? V : never;

/**
 * Creates a failure detector that learns the usual gap between signs of life of each subject.
 *
 * If more than `maxSuspectedRatio` of the subjects fall silent, this process is more likely disconnected than all of
 * them are down, and suspecting them would leave no subject to work with. In that case silence alone suspects no
 * subject, and failed connections suspect only up to that ratio, starting with the longest silent.
 */
export function createFailureDetector(nowMs: () => number, timing: MembershipTiming): FailureDetector {
    const subjects = new Map<string, Subject>();

    function recordAlive(name: string, expectedGapMs = 0): void {
        const subject = subjects.get(name);
        if (subject === undefined) {
            const meanGapMs = timing.minSuspectMs / gapsAllowed;
            const first = {
                lastAliveAtMs: nowMs(),
                meanGapMs,
                deviationMs: 0,
                expectedGapMs,
                failedConnections: 0,
            };
            subjects.set(name, first);
            return;
        }
        subject.expectedGapMs = expectedGapMs;
        const gapMs = nowMs() - subject.lastAliveAtMs;
        const gapErrorMs = Math.abs(gapMs - subject.meanGapMs);
        subject.meanGapMs += gapWeight * (gapMs - subject.meanGapMs);
        subject.deviationMs += gapWeight * (gapErrorMs - subject.deviationMs);
        subject.lastAliveAtMs = nowMs();
        subject.failedConnections = 0;
    }

    function allowedSilenceMs(subject: Subject): number {
        const gapMs = Math.max(subject.meanGapMs, subject.expectedGapMs);
        const usualMs = gapsAllowed * gapMs + deviationsAllowed * subject.deviationMs;
        return Math.min(timing.maxSuspectMs, Math.max(timing.minSuspectMs, usualMs));
    }

    function judgeSubject(subject: Subject): Verdict {
        const ageMs = nowMs() - subject.lastAliveAtMs;
        if (subject.failedConnections >= failedConnectionsToSuspect) {
            return { ageMs, suspected: true, reason: "unreachable" };
        }
        const silent = ageMs > allowedSilenceMs(subject);
        return { ageMs, suspected: silent, reason: silent ? "silent" : "heard" };
    }

    function clearSuspicion(verdict: Verdict): void {
        verdict.suspected = false;
        verdict.reason = "spared";
    }

    function limitSuspicions(verdicts: Verdict[]): void {
        const allowed = Math.max(1, Math.floor(verdicts.length * timing.maxSuspectedRatio));
        let suspected = verdicts.filter(verdict => verdict.suspected);
        if (suspected.length <= allowed) {
            return;
        }
        suspected.filter(verdict => verdict.reason === "silent").forEach(clearSuspicion);
        suspected = suspected.filter(verdict => verdict.suspected).sort((a, b) => b.ageMs - a.ageMs);
        suspected.slice(allowed).forEach(clearSuspicion);
    }

    return {
        recordAlive,
        recordFailedConnection: name => {
            const subject = subjects.get(name);
            if (subject !== undefined) {
                subject.failedConnections++;
            }
        },
        forget: name => void subjects.delete(name),
        judge: () => {
            const verdicts = new Map([...subjects].map(([name, subject]) => [name, judgeSubject(subject)]));
            limitSuspicions([...verdicts.values()]);
            return verdicts;
        },
    };
}
