import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Random } from "@auburnarch/types/Random";
import type { LeaseGuards } from "./LeaseGuards.js";

/** What leases are kept with. */
export interface LeaseDeps {
    store: ObjectStore;
    clock: Clock;
    random: Random;
    logger: Logger;
    invariants: Invariants;
    /** Name under which this process holds leases, shown to operators. */
    holder: string;
    /**
     * True if holder names are bound to a VM on which one process at a time runs. A lease that names this holder was
     * then held by an earlier process, which is gone, and is taken up at once instead of after its term.
     */
    resumesOwnLeases?: boolean;
    /** Term of a lease without renewal; 10 s by default, renewed every third of it. */
    ttlMs?: number;
    guards?: LeaseGuards;
}
