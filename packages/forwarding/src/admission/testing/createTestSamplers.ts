import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import type { CallSampler } from "../../CallSampler.js";
import type { SamplerModel } from "./SamplerModel.js";

const rejectMs = 2;

async function* emptyBody(): AsyncGenerator<Uint8Array> {
    yield new Uint8Array(0);
}

/**
 * Creates samplers that reject requests as full beyond their slots and count the runs of each request. `models` may be
 * changed while they run; a sampler without a model accepts no connections.
 */
export function createTestSamplers(clock: Clock, random: Random, models: Map<string, SamplerModel>) {
    const running = new Map<string, number>();
    const runs = new Map<string, number>();
    const add = (counts: Map<string, number>, key: string, by: number): void =>
        void counts.set(key, (counts.get(key) ?? 0) + by);

    const callSampler: CallSampler = async ({ sampler, requestId }, signal) => {
        const name = sampler.incarnation;
        const model = models.get(name);
        if (model === undefined || (running.get(name) ?? 0) >= model.slots) {
            await clock.sleep(rejectMs);
            const code = model === undefined ? resultCodes.connectFailed : resultCodes.overloaded;
            return { kind: "notRun", code, detail: "" };
        }
        add(running, name, 1);
        add(runs, requestId, 1);
        await clock.sleep(model.serviceMs * (0.7 + 0.6 * random.nextUnit()), signal);
        add(running, name, -1);
        return signal.aborted
            ? { kind: "unknown", code: resultCodes.connectionBroken, detail: "cancelled" }
            : {
                kind: "answered",
                status: 200,
                headers: {},
                body: emptyBody(),
                signature: "proof",
                weightVersion: undefined,
            };
    };

    return {
        samplers: [...models].map(([name, { slots }]) => createTestSampler(name, { maxBatch: slots })),
        callSampler,
        runsOf: (requestId: string): number => runs.get(requestId) ?? 0,
    };
}
