import type { RoleSettings } from "@auburnarch/config/RoleSettings";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";

/** Dependencies for starting a gateway or a runner. */
export interface RoleContext {
    /** Settings as read at the start. */
    settings: RoleSettings;
    /** Current settings; those that may change in a running process must be read from here. */
    currentSettings: () => RoleSettings;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    invariants: Invariants;
}
