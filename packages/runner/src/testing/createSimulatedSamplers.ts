import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { CallSampler } from "@auburnarch/forwarding/CallSampler";
import type { Clock } from "@auburnarch/types/Clock";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { ItemEvent } from "../items/ItemEvent.js";
import type { ReadItemEvents } from "../items/ReadItemEvents.js";

interface SimulatedSamplers {
    samplers: RegisteredSampler[];
    callSampler: CallSampler;
    readEvents: ReadItemEvents;
}

interface SimulatedSamplersOptions {
    clock: Clock;
    service: ServiceId;
    policies: readonly PolicyId[];
    eventMs: readonly number[];
    slots: number;
    eventsOf: (item: string) => number;
}

/** A run in a full batch takes this much longer for an event than a run alone. */
const fullBatchSlowdown = 0.2;
const version = 1 as WeightVersion;

/** Creates samplers that generate the events of items without a network and refuse runs beyond their slots. */
export function createSimulatedSamplers(options: SimulatedSamplersOptions): SimulatedSamplers {
    const { clock, service, policies, eventMs, slots, eventsOf } = options;
    const running = new Map<string, number>();
    const samplers = eventMs.map((_, at) =>
        createTestSampler(`s${at}`, {
            service,
            maxBatch: slots,
            served: policies.map(policy => ({ policy, version })),
        })
    );

    async function* generate(
        sampler: string,
        item: string,
        after: number,
        signal: AbortSignal,
    ): AsyncGenerator<ItemEvent> {
        try {
            for (let number = after + 1; number <= eventsOf(item); number++) {
                const others = Math.max(0, running.get(sampler)! - 1);
                const slowdown = 1 + fullBatchSlowdown * others / Math.max(1, slots - 1);
                await clock.sleep(eventMs[Number(sampler.slice(1))]! * slowdown, signal);
                if (signal.aborted) {
                    throw new Error("aborted");
                }
                yield { number, data: "", weightVersion: undefined };
            }
        }
        finally {
            running.set(sampler, running.get(sampler)! - 1);
        }
    }

    return {
        samplers,
        callSampler: async ({ sampler, requestId, lastEventNumber }, signal) => {
            const name = sampler.incarnation as string;
            const load = running.get(name) ?? 0;
            if (load >= slots) {
                return { kind: "notRun", code: resultCodes.overloaded, detail: "full" };
            }
            running.set(name, load + 1);
            return {
                kind: "answered",
                status: 200,
                headers: {},
                body: generate(name, requestId, lastEventNumber ?? 0, signal) as AsyncIterable<
                    unknown
                > as AsyncIterable<Uint8Array>,
                signature: undefined,
                weightVersion: version,
            };
        },
        readEvents: body => body as AsyncIterable<unknown> as AsyncIterable<ItemEvent>,
    };
}
