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
    /** Term of a lease without renewal; 10 s by default, renewed every third of it. */
    ttlMs?: number;
    guards?: LeaseGuards;
}
