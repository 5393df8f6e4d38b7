import type { MembershipTiming } from "./MembershipTiming.js";

/** Tells sidecars how often to report. */
interface ReportPacer {
    /** Sees a report; every so many are measured. */
    note(message: unknown): void;
    intervalMs(reporters: number): number;
}

const firstGuessBytes = 800;
/** Headers of request and answer, and the answer itself. */
const envelopeBytes = 500;
const measuredEvery = 32;

/** Makes the pacing of reports: a second for a few reporters, longer for many, so that their bytes stay bounded. */
export function createReportPacer(timing: MembershipTiming): ReportPacer {
    let seen = 0;
    let messageBytes = firstGuessBytes;
    return {
        note: message => {
            if (seen++ % measuredEvery === 0) {
                messageBytes = JSON.stringify(message).length + envelopeBytes;
            }
        },
        intervalMs: reporters => {
            const wantedMs = reporters * messageBytes / timing.reportBytesPerSecond * 1_000;
            return Math.min(timing.maxReportIntervalMs, Math.max(timing.minReportIntervalMs, wantedMs));
        },
    };
}
