import type { MembershipTiming } from "./MembershipTiming.js";

/** Decides how often sidecars report. */
interface ReportPacer {
    /** Counts a report and measures the size of every `reportsPerMeasurement`-th one. */
    measure(message: unknown): void;
    intervalMs(reporters: number): number;
}

const initialReportBytes = 800;
/** Headers of request and answer, plus the answer body. */
const envelopeBytes = 500;
const reportsPerMeasurement = 32;

/**
 * Creates the pacing of reports. The interval is `minReportIntervalMs` (a second by default) for a few reporters and
 * grows with their number, to bound the bandwidth.
 */
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
