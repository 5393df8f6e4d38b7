import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Random } from "@auburnarch/types/Random";
import type { LeaseGuards } from "./LeaseGuards.js";

/** Dependencies and settings of a `LeaseManager`. */
export interface LeaseDeps {
    store: ObjectStore;
    clock: Clock;
    random: Random;
    logger: Logger;
    invariants: Invariants;
    /** Name of this process as a lease holder, shown to operators. */
    holder: string;
    /**
     * True if holder names are bound to a VM that runs one process at a time. A lease that names this holder then
     * belongs to an earlier process, which has ended, and is acquired at once instead of after its term.
     */
    resumesOwnLeases?: boolean;
    /** How long a lease lasts without renewal; 10 s by default, renewed after each third of it. */
    ttlMs?: number;
    guards?: LeaseGuards;
}
