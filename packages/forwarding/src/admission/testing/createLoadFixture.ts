import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createTestDirectory } from "@auburnarch/discovery/testing/createTestDirectory";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { LogFields } from "@auburnarch/types/LogFields";
import type { Logger } from "@auburnarch/types/Logger";
import { createTestForwarder } from "../../testing/createTestForwarder.js";
import { createRequestAdmission } from "../createRequestAdmission.js";
import { createTestSamplers } from "./createTestSamplers.js";
import type { SamplerModel } from "./SamplerModel.js";

interface LoadFixtureOptions {
    /** Slots and mean service time of each sampler, in ms. */
    samplers: [slots: number, serviceMs: number][];
    gateways?: number;
    hasAdmission: boolean;
    seed?: number;
}

/** Creates gateways' forwarders, with or without admission, to samplers with few slots, under a fake clock. */
export function createLoadFixture(options: LoadFixtureOptions) {
    const { samplers, gateways = 2, hasAdmission, seed = 1 } = options;
    const clock = createFakeClock();
    const random = createRandom(seed);
    const models = new Map<string, SamplerModel>();
    samplers.forEach(([slots, serviceMs], index) => models.set(`s${index}`, { slots, serviceMs }));
    const fakes = createTestSamplers(clock, random.fork(), models);
    const lines: { event: string; fields: LogFields; }[] = [];
    const log = (event: string, fields: LogFields): void => void lines.push({ event, fields });
    const logger: Logger = { info: log, warn: log, error: log, child: () => logger };
    const metrics = createMetrics();
    const nodes = Array.from({ length: gateways }, (_, index) => {
        const directory = createTestDirectory(fakes.samplers);
        const admission = hasAdmission
            ? createRequestAdmission({ directory, clock, random: random.fork(), logger, metrics })
            : undefined;
        const forward = createTestForwarder({
            clock,
            samplers: fakes.samplers,
            callSampler: fakes.callSampler,
            admission,
            seed: seed + index,
        });
        return { admission, forward };
    });
    return {
        clock,
        random: random.fork(),
        models,
        /** Registered samplers; changes apply to all gateways. */
        samplers: fakes.samplers,
        runsOf: fakes.runsOf,
        lines,
        metrics,
        admissions: nodes.flatMap(({ admission }) => admission ?? []),
        forwarders: nodes.map(({ forward }) => forward),
    };
}
