import type { CallCost } from "./CallCost.js";
import type { ChangePoint } from "./ChangePoint.js";
import type { DetectionPoint } from "./DetectionPoint.js";
import type { LeasePoint } from "./LeasePoint.js";
import type { PropagationPoint } from "./PropagationPoint.js";
import type { RegionPartitionPoint } from "./RegionPartitionPoint.js";
import type { SteadyPoint } from "./SteadyPoint.js";

/** Everything that `slopes` measured; docs/CAPACITY.md is computed from it. */
export interface SlopesFigures {
    /** Resident memory of this process before the first fleet, all modules loaded. */
    baseRssBytes: number;
    call: CallCost;
    /** Series by what is doubled in them. */
    steady: { entries: SteadyPoint[]; samplers: SteadyPoint[]; jobs: SteadyPoint[]; changes: SteadyPoint[]; };
    /** Entries doubled with 10.25 samplers each, as in the target. */
    scaled: SteadyPoint[];
    spread: PropagationPoint[];
    detection: DetectionPoint[];
    cut: RegionPartitionPoint[];
    leases: LeasePoint[];
    change: ChangePoint[];
    /** Points left out because the time was up. */
    skipped: string[];
    elapsedMs: number;
}
