import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { RequestAdmission } from "./admission/RequestAdmission.js";
import type { BreakRegistry } from "./BreakRegistry.js";
import type { CallSampler } from "./CallSampler.js";
import type { ContentGuard } from "./ContentGuard.js";
import type { ContentTrials } from "./ContentTrials.js";
import type { RoutedRequest } from "./RoutedRequest.js";
import type { RunMeter } from "./RunMeter.js";

/** Dependencies of `createRequestForwarder`. */
export interface RequestForwarderDeps {
    callSampler: CallSampler;
    directory: SamplerDirectory;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    invariants: Invariants;
    /** Failure domain of this process; samplers in it are preferred. */
    failureDomain: FailureDomain;
    /** May contain reports of other processes; by default only what this forwarder has seen. */
    breaks?: BreakRegistry;
    /** Shared with other processes; by default every trial is granted. */
    trials?: ContentTrials;
    /** Guards the content of a request; by default one whose attempts break off is suspected of crashing samplers. */
    createGuard?: (request: RoutedRequest) => ContentGuard;
    /** Admission of requests under load; by default every request is sent at once. */
    admission?: RequestAdmission | undefined;
    /** Meters the requests of teams; undefined if they are not metered. */
    meter?: RunMeter | undefined;
}
