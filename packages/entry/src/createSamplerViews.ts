import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import { createCountedSidecar } from "./createCountedSidecar.js";
import { createSendCounter } from "./createSendCounter.js";
import type { ReportedSampler } from "./ReportedSampler.js";
import type { SamplerViews } from "./SamplerViews.js";
import type { SamplerViewsDeps } from "./SamplerViewsDeps.js";
import type { SendCounter } from "./SendCounter.js";

interface Connected {
    counter: SendCounter;
    port: SidecarPort;
    /** The report at the latest attempt. */
    report: SamplerReport | undefined;
    raw: SidecarPort | undefined;
}

/** Joins reports, which lag, with what this entry sent since. */
export function createSamplerViews(deps: SamplerViewsDeps): SamplerViews {
    const { clock } = deps;
    const connected = new Map<SamplerId, Connected>();

    /** A sampler that comes back on another VM has another address: its connection is made anew. */
    function connect(sampler: SamplerId, entry: Connected): SidecarPort {
        const report = deps.listReports().find(each => each.report.sampler === sampler)?.report;
        if (report !== undefined && report.address !== entry.report?.address) {
            entry.raw = deps.connect(report);
        }
        entry.report = report ?? entry.report;
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
        const counted = createCountedSidecar(counter, () => connect(sampler, entry), {
            noteReached: reached => deps.noteSampler(sampler, reached),
            noteCleanFinish: deps.noteCleanFinish,
            noteLost: digest => entry.report && deps.noteLost(entry.report, digest),
        });
        const port = deps.wrapSidecar(counted);
        const entry: Connected = { counter, port, report: undefined, raw: undefined };
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
