import { createLeaseManager } from "@auburnarch/lease/createLeaseManager";
import { createOwner } from "@auburnarch/ownership/createOwner";
import type { Owner } from "@auburnarch/ownership/Owner";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import { createGroupStoreDirectory } from "./createGroupStoreDirectory.js";
import { createJobOwnership } from "./createJobOwnership.js";
import { createOwnerDirectory } from "./createOwnerDirectory.js";
import { createReplicatedGroupStore } from "./createReplicatedGroupStore.js";
import type { EntryDeps } from "./EntryDeps.js";
import type { Fleet } from "./Fleet.js";
import type { JobOwnership } from "./JobOwnership.js";
import type { OwnerDirectory } from "./OwnerDirectory.js";

interface Ownership {
    directory: OwnerDirectory;
    jobs: JobOwnership;
}

/** Creates the ownership of jobs by lease and the directory of owners. */
export function createOwnership(
    deps: EntryDeps,
    fleet: Fleet,
    logger: Logger,
    store: ObjectStore,
): Ownership {
    const { self, clock, random, guards } = deps;
    const { views, documentSync } = fleet;
    const leases = createLeaseManager({
        store,
        clock,
        random: random.fork(),
        logger,
        invariants: deps.invariants,
        holder: self.entry,
        ttlMs: deps.leaseTtlMs,
        guards: guards?.lease,
    });
    const groupStoreDirectory = createGroupStoreDirectory(self, fleet, clock);
    const groupStore = createReplicatedGroupStore({
        self: self.entry,
        local: deps.groupStore,
        listHosts: groupStoreDirectory.list,
        callPeer: deps.callPeer,
        logger,
    });
    if (deps.groupStore !== undefined) {
        groupStoreDirectory.announce();
    }
    const directory = createOwnerDirectory({ self, get: documentSync.get, offer: documentSync.offer });

    function startOwner(job: JobManifest, lease: Lease): Promise<Owner> {
        const ownerDeps = {
            job,
            limits: () => fleet.manifest()!.manifest.limits,
            lease,
            clock,
            random: random.fork(),
            logger,
            metrics: deps.metrics,
            invariants: deps.invariants,
            store,
            listSamplers: () => views.list(job.service),
            sidecar: views.sidecar,
            scoring: deps.scoring,
            groupStore,
            cursorKey: deps.cursorKey,
        };
        return createOwner(ownerDeps, guards?.owner, guards?.ownerParts);
    }

    const jobs = createJobOwnership({
        self: self.entry,
        clock,
        logger,
        listEntries: fleet.listLiveEntries,
        listJobs: () => fleet.manifest()?.manifest.jobs ?? [],
        tryAcquireLease: leases.tryAcquire,
        createOwner: startOwner,
        announce: directory.announceJob,
    });
    return { directory, jobs };
}
