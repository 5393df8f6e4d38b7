import type { CallCost } from "./CallCost.js";
import type { ChangePoint } from "./ChangePoint.js";
import type { DetectionPoint } from "./DetectionPoint.js";
import type { LeasePoint } from "./LeasePoint.js";
import type { PropagationPoint } from "./PropagationPoint.js";
import type { RegionPartitionPoint } from "./RegionPartitionPoint.js";
import type { SteadyPoint } from "./SteadyPoint.js";

/** All results of `slopes`; the tables of docs/CAPACITY.md are computed from them. */
export interface SlopesFigures {
    /** Resident memory of this process before the first fleet, with all modules loaded. */
    baseRssBytes: number;
    call: CallCost;
    /** Series by the quantity that is doubled in them. */
    steady: { entries: SteadyPoint[]; samplers: SteadyPoint[]; jobs: SteadyPoint[]; changes: SteadyPoint[]; };
    /** Series in which entries are doubled with 10.25 samplers each, as in the target. */
    scaled: SteadyPoint[];
    spread: PropagationPoint[];
    detection: DetectionPoint[];
    cut: RegionPartitionPoint[];
    leases: LeasePoint[];
    change: ChangePoint[];
    /** Points skipped because the time limit was reached. */
    skipped: string[];
    elapsedMs: number;
}
