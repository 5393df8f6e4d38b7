import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { RefusedContents } from "./RefusedContents.js";

/** Dependencies of `createServiceAdmission`. */
export interface ServiceAdmissionDeps {
    directory: SamplerDirectory;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    /** Refused requests of all services of the gateway. */
    refusedContents: RefusedContents;
}
