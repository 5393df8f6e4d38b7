import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { Lease } from "@auburnarch/types/Lease";
import type { LimitsManifest } from "@auburnarch/types/LimitsManifest";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Random } from "@auburnarch/types/Random";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { ScoringPort } from "@auburnarch/types/ScoringPort";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";

/** Dependencies of an owner. */
export interface OwnerDeps {
    job: JobManifest;
    limits: () => LimitsManifest;
    lease: Lease;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    invariants: Invariants;
    store: ObjectStore;
    listSamplers: () => SamplerView[];
    sidecar: (sampler: SamplerId) => SidecarPort;
    scoring: ScoringPort;
    /** Stores unacknowledged groups outside this process; undefined where no data folder is reachable. */
    groupStore: GroupStore | undefined;
    /** Key that signs cursors; the same on every entry. */
    cursorKey: string;
}
