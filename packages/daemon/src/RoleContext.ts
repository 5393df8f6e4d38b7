import type { RoleSettings } from "@auburnarch/config/RoleSettings";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";

/** What the start of a gateway or a runner gets. */
export interface RoleContext {
    /** As they were at the start. */
    settings: RoleSettings;
    /** As the file says now; what may change in a running process is read from here. */
    currentSettings: () => RoleSettings;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    invariants: Invariants;
}
