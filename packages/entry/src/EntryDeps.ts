import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { MembershipTiming } from "@auburnarch/membership/MembershipTiming";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Random } from "@auburnarch/types/Random";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { ScoringPort } from "@auburnarch/types/ScoringPort";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { VmList } from "@auburnarch/types/VmList";
import type { EntryGuards } from "./EntryGuards.js";
import type { ForwardPlain } from "./ForwardPlain.js";
import type { PeerCall } from "./PeerCall.js";
import type { StartSnapshot } from "./StartSnapshot.js";

/** Dependencies of an entry. */
export interface EntryDeps {
    self: EntryRecord;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    invariants: Invariants;
    store: ObjectStore;
    vmList: VmList;
    scoring: ScoringPort;
    groupStore: GroupStore | undefined;
    cursorKey: string;
    /** Addresses of the entries to contact first. */
    seeds: string[];
    leaseTtlMs: number;
    connectSidecar: (report: SamplerReport) => SidecarPort;
    callPeer: PeerCall;
    forwardPlain: ForwardPlain;
    /** Reads the manifest file, which is published whenever it changes; undefined if there is none. */
    readManifestFile: (() => Promise<string>) | undefined;
    /** Snapshot of this entry's previous run, and the function that saves the next one; only with a data folder. */
    startSnapshot?: StartSnapshot;
    saveSnapshot?: (snapshot: StartSnapshot) => Promise<void>;
    guards?: EntryGuards;
    timing?: Partial<MembershipTiming>;
}
