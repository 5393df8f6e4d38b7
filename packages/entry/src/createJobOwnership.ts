import { codeOf } from "@auburnarch/errors/codeOf";
import type { Owner } from "@auburnarch/own/Owner";
import type { Clock } from "@auburnarch/types/Clock";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { JobId } from "@auburnarch/types/JobId";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import { createRankCache } from "./createRankCache.js";
import type { JobOwnership } from "./JobOwnership.js";
import type { LeaseTaker } from "./LeaseTaker.js";
import type { OwnedJob } from "./OwnedJob.js";

/** How often an entry looks for jobs without an owner. */
const tickMs = 1_000;
/** Entries that stand by for a job: the first by rendezvous and one behind it. */
const standbys = 2;

interface JobOwnershipDeps {
    self: EntryId;
    clock: Clock;
    logger: Logger;
    /** Entries believed alive, this one included. */
    listEntries: () => EntryId[];
    listJobs: () => JobManifest[];
    takeLease: LeaseTaker;
    createOwner: (job: JobManifest, lease: Lease) => Promise<Owner>;
    /** Tells the other entries who owns the job. */
    announce: (job: JobId, lease: Lease) => void;
}

/**
 * Takes the leases of jobs whose hash ranks this entry among the first two. Only those two poll a lease, so the
 * object API sees two reads a second and job whatever the number of entries.
 */
export function createJobOwnership(deps: JobOwnershipDeps): JobOwnership {
    const { clock, logger, self } = deps;
    const owned = new Map<JobId, OwnedJob>();
    const taking = new Set<JobId>();
    const stopped = new AbortController();
    const rank = createRankCache();

    function standsBy(job: JobId): boolean {
        return rank(job, deps.listEntries()).slice(0, standbys).includes(self);
    }

    async function drop({ job, lease, owner }: OwnedJob, reason: string): Promise<void> {
        if (owned.get(job.job)?.lease !== lease) {
            return;
        }
        owned.delete(job.job);
        logger.info("jobDropped", { job: job.job, fencing: lease.fencing, reason });
        await owner.stop().catch(() => undefined);
        await lease.release().catch(() => undefined);
    }

    async function take(job: JobManifest): Promise<void> {
        const lease = await deps.takeLease(`leases/job/${job.job}`);
        if (lease === undefined) {
            return;
        }
        if (stopped.signal.aborted) {
            await lease.release();
            return;
        }
        logger.info("jobTaken", { job: job.job, fencing: lease.fencing });
        const owner = await deps.createOwner(job, lease).catch(async (error: unknown) => {
            await lease.release().catch(() => undefined);
            throw error;
        });
        const entry: OwnedJob = { job, lease, owner };
        owned.set(job.job, entry);
        // A signal that was aborted while the owner started calls no listener any more: without this the job would
        // stay here for good under a lease that is lost, or be left running behind a shutdown.
        if (lease.lost.aborted || owner.ended?.aborted === true || stopped.signal.aborted) {
            await drop(entry, "endedAtStart");
            return;
        }
        lease.lost.addEventListener("abort", () => void drop(entry, "leaseLost"), { once: true });
        owner.ended?.addEventListener("abort", () => void drop(entry, "ownerEnded"), { once: true });
        deps.announce(job.job, lease);
    }

    function tryTake(job: JobManifest): void {
        if (taking.has(job.job) || !standsBy(job.job)) {
            return;
        }
        taking.add(job.job);
        take(job)
            .catch(error => logger.warn("jobNotTaken", { job: job.job, code: codeOf(error).name }))
            .finally(() => taking.delete(job.job));
    }

    function follow(entry: OwnedJob, job: JobManifest): void {
        if (JSON.stringify(entry.job) !== JSON.stringify(job)) {
            entry.job = job;
            entry.owner.updateJob(job);
            logger.info("jobUpdated", { job: job.job });
        }
    }

    function tick(): void {
        const jobs = deps.listJobs();
        const wanted = new Set(jobs.map(each => each.job));
        [...owned.values()]
            .filter(each => !wanted.has(each.job.job))
            .forEach(each => void drop(each, "removedFromManifest"));
        for (const job of jobs) {
            const entry = owned.get(job.job);
            if (entry === undefined) {
                tryTake(job);
            }
            else {
                follow(entry, job);
            }
        }
    }

    async function loop(): Promise<void> {
        while (!stopped.signal.aborted) {
            tick();
            await clock.sleep(tickMs, stopped.signal);
        }
    }

    return {
        start: () => void loop(),
        get: job => owned.get(job),
        list: () => [...owned.values()],
        release: async () => {
            stopped.abort();
            await Promise.all([...owned.values()].map(each => drop(each, "shutdown")));
        },
    };
}
