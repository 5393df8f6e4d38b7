import { createRandom } from "@auburnarch/clock/createRandom";
import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import { createTestDirectory } from "@auburnarch/discovery/testing/createTestDirectory";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { RequestAdmission } from "../admission/RequestAdmission.js";
import type { BreakRegistry } from "../BreakRegistry.js";
import type { CallSampler } from "../CallSampler.js";
import type { ContentGuard } from "../ContentGuard.js";
import type { ContentTrials } from "../ContentTrials.js";
import { createRequestForwarder } from "../createRequestForwarder.js";
import type { RequestForwarder } from "../RequestForwarder.js";

interface TestForwarderOptions {
    clock: Clock;
    samplers: RegisteredSampler[];
    callSampler: CallSampler;
    breaks?: BreakRegistry;
    trials?: ContentTrials;
    createGuard?: () => ContentGuard;
    admission?: RequestAdmission | undefined;
    seed?: number;
}

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };

/** Creates a forwarder to the given samplers, in their failure domain; a violated invariant throws. */
export function createTestForwarder({ seed = 1, samplers, ...deps }: TestForwarderOptions): RequestForwarder {
    return createRequestForwarder({
        ...deps,
        directory: createTestDirectory(samplers),
        random: createRandom(seed),
        logger: silent,
        metrics: createMetrics(),
        invariants: createInvariants(silent, code => {
            throw new Error(code.name);
        }),
        failureDomain: "lugo" as FailureDomain,
    });
}
