import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import { createCountedSidecar } from "./createCountedSidecar.js";
import { createSendCounter } from "./createSendCounter.js";
import type { ReportedSampler } from "./ReportedSampler.js";
import type { SamplerViews } from "./SamplerViews.js";
import type { SendCounter } from "./SendCounter.js";

interface SamplerViewsDeps {
    clock: Clock;
    listReports: () => ReportedSampler[];
    /** Connects to the sidecar that made a report. */
    connect: (report: SamplerReport) => SidecarPort;
    /** Evidence of an attempt: whether the sidecar was reached. */
    noteSampler: (sampler: SamplerId, reached: boolean) => void;
    /** A sample of this content ended cleanly. */
    noteCleanFinish: (digest: ContentDigest) => void;
}

interface Connected {
    counter: SendCounter;
    port: SidecarPort;
    /** What the present connection leads to. */
    address: string | undefined;
    raw: SidecarPort | undefined;
}

/** Joins reports, which lag, with what this entry sent since. */
export function createSamplerViews(deps: SamplerViewsDeps): SamplerViews {
    const { clock } = deps;
    const connected = new Map<SamplerId, Connected>();

    /** A sampler that comes back on another VM has another address: its connection is made anew. */
    function connect(sampler: SamplerId, entry: Connected): SidecarPort {
        const report = deps.listReports().find(each => each.report.sampler === sampler)?.report;
        if (report !== undefined && report.address !== entry.address) {
            entry.address = report.address;
            entry.raw = deps.connect(report);
        }
        if (entry.raw === undefined) {
            throw new ResultError(resultCodes.sidecarUnreachable, `no report of ${sampler}`);
        }
        return entry.raw;
    }

    function entryOf(sampler: SamplerId): Connected {
        const present = connected.get(sampler);
        if (present !== undefined) {
            return present;
        }
        const counter = createSendCounter(clock);
        const noteReached = (reached: boolean): void => deps.noteSampler(sampler, reached);
        const port = createCountedSidecar(
            counter,
            () => connect(sampler, entry),
            noteReached,
            deps.noteCleanFinish,
        );
        const entry: Connected = { counter, port, address: undefined, raw: undefined };
        connected.set(sampler, entry);
        return entry;
    }

    function view({ report, ageMs, suspected }: ReportedSampler): SamplerView {
        const { counter } = entryOf(report.sampler);
        return {
            report,
            reportAgeMs: ageMs,
            sentAttempts: counter.attempts(),
            sentTokens: counter.tokens(),
            sentSinceReport: counter.sentWithin(ageMs),
            suspected,
        };
    }

    return {
        list: service =>
            deps.listReports()
                .filter(each => each.report.service === service && each.report.state !== "leaving")
                .map(view),
        listAll: () => deps.listReports().map(view),
        sidecar: sampler => entryOf(sampler).port,
        inFlight: () => [...connected.values()].reduce((sum, each) => sum + each.counter.attempts(), 0),
    };
}
