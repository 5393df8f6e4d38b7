import type { OwnerStatus } from "@auburnarch/ownership/OwnerStatus";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { JobId } from "@auburnarch/types/JobId";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { OwnerDocument } from "@auburnarch/types/OwnerDocument";
import type { JobOwnership } from "./JobOwnership.js";
import type { JobReport } from "./JobReport.js";
import type { PeerCall } from "./PeerCall.js";

const statusTimeoutMs = 2_000;

interface JobReaderDeps {
    self: EntryId;
    listJobs: () => JobManifest[];
    jobs: JobOwnership;
    findOwner: (job: JobId) => OwnerDocument | undefined;
    callPeer: PeerCall;
}

/** Creates the function that reads the status of all jobs, from this entry or from their owners elsewhere. */
export function createJobReader(deps: JobReaderDeps): () => Promise<JobReport[]> {
    async function read(job: JobManifest): Promise<JobReport> {
        const owned = deps.jobs.get(job.job);
        if (owned !== undefined) {
            return { job, owner: deps.self, status: owned.owner.status() };
        }
        const document = deps.findOwner(job.job);
        if (document === undefined || document.entry === deps.self) {
            return { job, owner: undefined, status: undefined };
        }
        const pendingStatus = deps.callPeer(document.address, "jobStatus", { job: job.job }, statusTimeoutMs);
        const status = await pendingStatus.catch(() => undefined) as OwnerStatus | undefined;
        return { job, owner: document.entry, status };
    }

    return () => Promise.all(deps.listJobs().map(read));
}
