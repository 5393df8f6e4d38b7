import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { BreakRegistry } from "./BreakRegistry.js";
import type { CallSampler } from "./CallSampler.js";
import type { RunMeter } from "./RunMeter.js";

/** What a relay is built from. */
export interface RequestForwarderDeps {
    callSampler: CallSampler;
    directory: SamplerDirectory;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    invariants: Invariants;
    /** Own failure domain; samplers in it are preferred. */
    failureDomain: FailureDomain;
    /** Shared with other processes by whoever passes it; by default what this relay alone has seen. */
    breaks?: BreakRegistry;
    /** Counts the requests of teams; none where that is not asked for. */
    meter?: RunMeter | undefined;
}
