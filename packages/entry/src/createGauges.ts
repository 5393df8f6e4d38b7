import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Fleet } from "./Fleet.js";
import type { JobOwnership } from "./JobOwnership.js";

interface GaugesDeps {
    metrics: Metrics;
    fleet: Fleet;
    jobs: JobOwnership;
    ownedRanges: () => number;
    callsInFlight: () => number;
    isStoreReachable: () => boolean;
    isReady: () => boolean;
}

/** Creates the function that sets an entry's gauges from its current state; it is called when metrics are read. */
export function createGauges(deps: GaugesDeps): () => void {
    const { metrics, fleet, jobs } = deps;

    function setFleetGauges(): void {
        const samplers = fleet.views.listAll();
        const suspected = samplers.filter(view => view.suspected).length;
        metrics.set("samplers", { standing: "trusted" }, samplers.length - suspected);
        metrics.set("samplers", { standing: "suspected" }, suspected);
        metrics.set("entries_live", {}, fleet.listLiveEntries().length);
        metrics.set("config_version", {}, fleet.manifest()?.version ?? 0);
    }

    function setJobGauges(): void {
        metrics.set("jobs_owned", {}, jobs.list().length);
        for (const { job, owner } of jobs.list()) {
            const status = owner.status();
            const sum = (pick: (step: typeof status.steps[number]) => number): number =>
                status.steps.reduce((total, step) => total + pick(step), 0);
            metrics.set("job_published_version", { job: job.job }, status.publishedVersion);
            metrics.set("job_groups_ready", { job: job.job }, sum(step => step.ready));
            metrics.set("job_samples_waiting", { job: job.job }, sum(step => step.waiting));
            metrics.set("job_samples_running", { job: job.job }, sum(step => step.running));
        }
    }

    return () => {
        setFleetGauges();
        setJobGauges();
        metrics.set("key_ranges_owned", {}, deps.ownedRanges());
        metrics.set("calls_in_flight", {}, deps.callsInFlight());
        metrics.set("store_reachable", {}, deps.isStoreReachable() ? 1 : 0);
        metrics.set("ready", {}, deps.isReady() ? 1 : 0);
    };
}
