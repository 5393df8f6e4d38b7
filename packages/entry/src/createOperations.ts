import type { Quarantine } from "@auburnarch/admission/Quarantine";
import type { OperatorApplied } from "@auburnarch/types/OperatorApplied";
import type { OperatorMember } from "@auburnarch/types/OperatorMember";
import type { OperatorTeamUsage } from "@auburnarch/types/OperatorTeamUsage";
import type { TeamId } from "@auburnarch/types/TeamId";
import { createDrainer } from "./createDrainer.js";
import { createGauges } from "./createGauges.js";
import { createJobReader } from "./createJobReader.js";
import { createMemberReader } from "./createMemberReader.js";
import { createOperatorHandler } from "./createOperatorHandler.js";
import type { DecisionStore } from "./DecisionStore.js";
import type { EntryDeps } from "./EntryDeps.js";
import type { Fleet } from "./Fleet.js";
import type { JobOwnership } from "./JobOwnership.js";
import type { OwnerDirectory } from "./OwnerDirectory.js";
import type { UsageCollector } from "./UsageCollector.js";

interface OperationsDeps {
    deps: EntryDeps;
    fleet: Fleet;
    jobs: JobOwnership;
    directory: OwnerDirectory;
    usage: UsageCollector;
    publish: (manifest: unknown, expectedVersion: number) => Promise<OperatorApplied>;
    quarantine: Quarantine;
    ownedRanges: () => number;
    callsInFlight: () => number;
    isStoreReachable: () => boolean;
    isReady: () => boolean;
    decisionStore: DecisionStore;
}

interface Operations {
    operate(action: string, query: URLSearchParams, body: unknown): Promise<unknown>;
    readTeamUsage(team: TeamId): Promise<OperatorTeamUsage>;
    describeHere(): OperatorMember[];
    renderMetrics(): Promise<string>;
}

/** Creates the operator-facing parts of an entry: the operator interface, the list of members and the metrics. */
export function createOperations(parts: OperationsDeps): Operations {
    const { deps, fleet, jobs, directory, quarantine, isReady, isStoreReachable } = parts;
    const { self, metrics, callPeer } = deps;
    const { views } = fleet;
    const members = createMemberReader({
        self,
        manifest: fleet.manifest,
        listEntries: fleet.membership.listEntries,
        listSamplers: views.listAll,
        callPeer,
    });
    const readJobs = createJobReader({
        self: self.entry,
        listJobs: () => fleet.manifest()?.manifest.jobs ?? [],
        jobs,
        findOwner: directory.findJob,
        callPeer,
    });
    const operatorHandler = createOperatorHandler({
        self,
        clock: deps.clock,
        manifest: fleet.manifest,
        isReady,
        isStoreReachable,
        readMembers: members.readAll,
        views,
        drain: createDrainer({
            sidecar: views.sidecar,
            acceptReport: fleet.membership.acceptReport,
            logger: parts.decisionStore.logger,
        }),
        publish: parts.publish,
        readJobs,
        usage: parts.usage,
        listQuarantine: quarantine.list,
        liftQuarantine: quarantine.lift,
        explain: parts.decisionStore.explain,
    });
    const setGauges = createGauges({
        metrics,
        fleet,
        jobs,
        ownedRanges: parts.ownedRanges,
        callsInFlight: parts.callsInFlight,
        isStoreReachable,
        isReady,
    });
    return {
        operate: operatorHandler.run,
        readTeamUsage: operatorHandler.readTeamUsage,
        describeHere: members.describeHere,
        renderMetrics: () => {
            setGauges();
            return metrics.render();
        },
    };
}
