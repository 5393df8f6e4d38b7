import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { VmList } from "@auburnarch/types/VmList";
import type { FleetNetwork } from "./FleetNetwork.js";

/** Dependencies common to all processes of a simulated fleet. */
export interface FleetCommon {
    clock: Clock;
    random: Random;
    logger: Logger;
    invariants: Invariants;
    vmList: VmList;
    network: FleetNetwork;
}
