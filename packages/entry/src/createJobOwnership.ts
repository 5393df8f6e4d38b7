import { codeOf } from "@auburnarch/errors/codeOf";
import type { Owner } from "@auburnarch/ownership/Owner";
import type { Clock } from "@auburnarch/types/Clock";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { JobId } from "@auburnarch/types/JobId";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import { createRankCache } from "./createRankCache.js";
import type { JobOwnership } from "./JobOwnership.js";
import type { OwnedJob } from "./OwnedJob.js";
import type { TryAcquireLease } from "./TryAcquireLease.js";

/** Interval at which an entry looks for jobs without an owner. */
const pollMs = 1_000;
/** Number of entries that try to acquire a job's lease: the first and second in its rendezvous ranking. */
const standbyCount = 2;

interface JobOwnershipDeps {
    self: EntryId;
    clock: Clock;
    logger: Logger;
    /** Entries believed to be alive, including this one. */
    listEntries: () => EntryId[];
    listJobs: () => JobManifest[];
    tryAcquireLease: TryAcquireLease;
    createOwner: (job: JobManifest, lease: Lease) => Promise<Owner>;
    /** Announces the job's owner to the other entries. */
    announce: (job: JobId, lease: Lease) => void;
}

/**
 * Acquires the leases of jobs whose rendezvous hash ranks this entry first or second. Only those two entries poll the
 * lease, so the object API receives two reads per second and job regardless of the number of entries.
 */
export function createJobOwnership(deps: JobOwnershipDeps): JobOwnership {
    const { clock, logger, self } = deps;
    const owned = new Map<JobId, OwnedJob>();
    const acquiring = new Set<JobId>();
    const stopped = new AbortController();
    const rank = createRankCache();

    function isStandby(job: JobId): boolean {
        return rank(job, deps.listEntries()).slice(0, standbyCount).includes(self);
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

    async function acquire(job: JobManifest): Promise<void> {
        const lease = await deps.tryAcquireLease(`leases/job/${job.job}`);
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
        const ownedJob: OwnedJob = { job, lease, owner };
        owned.set(job.job, ownedJob);
        // A signal aborted while the owner was starting does not call listeners added later. Without this check the
        // job would stay here permanently under a lost lease, or keep running after a shutdown.
        if (lease.lost.aborted || owner.ended?.aborted === true || stopped.signal.aborted) {
            await drop(ownedJob, "endedAtStart");
            return;
        }
        lease.lost.addEventListener("abort", () => void drop(ownedJob, "leaseLost"), { once: true });
        owner.ended?.addEventListener("abort", () => void drop(ownedJob, "ownerEnded"), { once: true });
        deps.announce(job.job, lease);
    }

    function tryAcquire(job: JobManifest): void {
        if (acquiring.has(job.job) || !isStandby(job.job)) {
            return;
        }
        acquiring.add(job.job);
        acquire(job)
            .catch(error => logger.warn("jobNotTaken", { job: job.job, code: codeOf(error).name }))
            .finally(() => acquiring.delete(job.job));
    }

    function updateJob(ownedJob: OwnedJob, job: JobManifest): void {
        if (JSON.stringify(ownedJob.job) !== JSON.stringify(job)) {
            ownedJob.job = job;
            ownedJob.owner.updateJob(job);
            logger.info("jobUpdated", { job: job.job });
        }
    }

    function updateOwnership(): void {
        const jobs = deps.listJobs();
        const listedJobs = new Set(jobs.map(each => each.job));
        [...owned.values()]
            .filter(each => !listedJobs.has(each.job.job))
            .forEach(each => void drop(each, "removedFromManifest"));
        for (const job of jobs) {
            const ownedJob = owned.get(job.job);
            if (ownedJob === undefined) {
                tryAcquire(job);
            }
            else {
                updateJob(ownedJob, job);
            }
        }
    }

    async function loop(): Promise<void> {
        while (!stopped.signal.aborted) {
            updateOwnership();
            await clock.sleep(pollMs, stopped.signal);
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
