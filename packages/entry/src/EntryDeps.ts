import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { MembershipTiming } from "@auburnarch/membership/MembershipTiming";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { GroupKeep } from "@auburnarch/types/GroupKeep";
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

/** What an entry is built from. */
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
    groupStore: GroupKeep | undefined;
    cursorKey: string;
    /** Addresses of entries to ask first. */
    seeds: string[];
    leaseTtlMs: number;
    connectSidecar: (report: SamplerReport) => SidecarPort;
    callPeer: PeerCall;
    forwardPlain: ForwardPlain;
    /** Text of the manifest file to publish whenever it changes; undefined where there is none. */
    readManifestFile: (() => Promise<string>) | undefined;
    /** What the last run of this entry kept, and where to keep it again; for entries with a data folder. */
    startSnapshot?: StartSnapshot;
    saveSnapshot?: (snapshot: StartSnapshot) => Promise<void>;
    guards?: EntryGuards;
    timing?: Partial<MembershipTiming>;
}
