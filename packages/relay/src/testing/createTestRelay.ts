import { createRandom } from "@auburnarch/clock/createRandom";
import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import { createTestDirectory } from "@auburnarch/discovery/testing/createTestDirectory";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { BreakMemory } from "../BreakMemory.js";
import type { CallSampler } from "../CallSampler.js";
import { createRelay } from "../createRelay.js";
import type { Relay } from "../Relay.js";

interface TestRelayOptions {
    clock: Clock;
    samplers: KnownSampler[];
    callSampler: CallSampler;
    breaks?: BreakMemory;
    seed?: number;
}

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };

/** A relay before the given samplers, in their failure domain; a broken promise throws. */
export function createTestRelay({ seed = 1, samplers, ...deps }: TestRelayOptions): Relay {
    return createRelay({
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
