import type { MembershipTiming } from "./MembershipTiming.js";

/** Tells sidecars how often to report. */
interface ReportPacer {
    /** Sees a report; every so many are measured. */
    measure(message: unknown): void;
    intervalMs(reporters: number): number;
}

const initialReportBytes = 800;
/** Headers of request and answer, and the answer itself. */
const envelopeBytes = 500;
const reportsPerMeasurement = 32;

/** Makes the pacing of reports: a second for a few reporters, longer for many, so that their bytes stay bounded. */
export function createReportPacer(timing: MembershipTiming): ReportPacer {
    let seen = 0;
    let messageBytes = initialReportBytes;
    return {
        measure: message => {
            if (seen++ % reportsPerMeasurement === 0) {
                messageBytes = JSON.stringify(message).length + envelopeBytes;
            }
        },
        intervalMs: reporters => {
            const wantedMs = reporters * messageBytes / timing.reportBytesPerSecond * 1_000;
            return Math.min(timing.maxReportIntervalMs, Math.max(timing.minReportIntervalMs, wantedMs));
        },
    };
}
