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

interface SamplerConnection {
    counter: SendCounter;
    port: SidecarPort;
    /** The sampler's report at the time of the latest attempt. */
    report: SamplerReport | undefined;
    sidecar: SidecarPort | undefined;
}

/** Combines reports, which are delayed, with what this entry has sent since. */
export function createSamplerViews(deps: SamplerViewsDeps): SamplerViews {
    const { clock } = deps;
    const connections = new Map<SamplerId, SamplerConnection>();

    /** Returns the sampler's sidecar; reconnects if its address has changed, as when it restarts on another VM. */
    function connect(sampler: SamplerId, connection: SamplerConnection): SidecarPort {
        const report = deps.listReports().find(each => each.report.sampler === sampler)?.report;
        if (report !== undefined && report.address !== connection.report?.address) {
            connection.sidecar = deps.connect(report);
        }
        connection.report = report ?? connection.report;
        if (connection.sidecar === undefined) {
            throw new ResultError(resultCodes.sidecarUnreachable, `no report of ${sampler}`);
        }
        return connection.sidecar;
    }

    function connectionOf(sampler: SamplerId): SamplerConnection {
        const present = connections.get(sampler);
        if (present !== undefined) {
            return present;
        }
        const counter = createSendCounter(clock);
        const counted = createCountedSidecar(counter, () => connect(sampler, connection), {
            recordContact: reached => deps.recordSamplerContact(sampler, reached),
            recordCleanFinish: deps.recordCleanFinish,
            recordInterrupted: digest =>
                connection.report && deps.recordInterrupted(connection.report, digest),
        });
        const port = deps.wrapSidecar(counted);
        const connection: SamplerConnection = { counter, port, report: undefined, sidecar: undefined };
        connections.set(sampler, connection);
        return connection;
    }

    function view({ report, ageMs, suspected }: ReportedSampler): SamplerView {
        const { counter } = connectionOf(report.sampler);
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
        sidecar: sampler => connectionOf(sampler).port,
        inFlight: () => [...connections.values()].reduce((sum, each) => sum + each.counter.attempts(), 0),
    };
}
