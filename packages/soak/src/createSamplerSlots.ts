import type { createPlatformWrites } from "@auburnarch/platform/testing/createPlatformWrites";
import type { FakeSampler } from "@auburnarch/platform/testing/FakeSampler";
import type { RequestFate } from "@auburnarch/platform/testing/RequestFate";
import { serveFakeSampler } from "@auburnarch/platform/testing/serveFakeSampler";
import type { Clock } from "@auburnarch/types/Clock";
import { createLinkProxy } from "./createLinkProxy.js";
import type { SoakTestBed } from "./SoakTestBed.js";

interface SamplerSlotsDeps {
    clock: Clock;
    writes: ReturnType<typeof createPlatformWrites>;
    models: string[];
    /** Newest version named by a trainer, by model. */
    versions: ReadonlyMap<string, number>;
    /** What happens to a plain request with this body; all are answered by default. */
    fateOf?: (body: string) => RequestFate;
}

interface SamplerSlots {
    eventsPerItem: number;
    samplers: FakeSampler[];
    leftAtMs: Map<string, number>;
    create(slotIndex: number, service: string): Promise<SoakTestBed["slots"][number]>;
    /** Crashed samplers are no longer replaced. */
    stop(): void;
}

const eventsPerItem = 25;
const eventIntervalMs = 20;
/** Time for which a draining sampler continues to serve. */
const drainMs = 2_500;
/** A crashed sampler's entry expires, and its successor registers, after these times. */
const entryExpiryMs = 1_500;
const crashRestartMs = 3_000;

/** Creates the slots for samplers of one run, and keeps all samplers that were in them. */
export function createSamplerSlots(options: SamplerSlotsDeps): SamplerSlots {
    const { clock, writes, models, versions } = options;
    const samplers: FakeSampler[] = [];
    const leftAtMs = new Map<string, number>();
    let isClosed = false;

    async function startSampler(
        id: string,
        service: string,
        port: () => number,
        onCrash: (id: string) => Promise<void>,
    ): Promise<FakeSampler> {
        const sampler = await serveFakeSampler({
            id,
            service,
            events: eventsPerItem,
            eventIntervalMs,
            models: service === "llm" ? models : [],
            startVersions: versions,
            ...(options.fateOf === undefined ? {} : { fateOf: options.fateOf }),
            onCrash: () => void onCrash(id),
            registeredPort: port,
            onEntry: entry => {
                if (!leftAtMs.has(id)) {
                    writes.registerSampler(id, entry);
                }
            },
        });
        samplers.push(sampler);
        writes.registerSampler(id, sampler.entry());
        return sampler;
    }

    async function deregisterSampler(sampler: FakeSampler, isAnnounced: boolean): Promise<void> {
        leftAtMs.set(sampler.id, clock.monotonicMs());
        if (isAnnounced) {
            writes.drainSampler(sampler.id, sampler.entry());
        }
        await clock.sleep(isAnnounced ? drainMs : 0);
        writes.removeSampler(sampler.id);
    }

    async function createSlot(slotIndex: number, service: string): Promise<SoakTestBed["slots"][number]> {
        let nextNumber = 0;
        let hasLeft = false;
        // Set once the sampler behind the link listens.
        const slot: { sampler?: FakeSampler; } = {};
        const link = await createLinkProxy(clock, () => slot.sampler!.port);
        const startNext = (): Promise<FakeSampler> =>
            startSampler(`${service}-${slotIndex}-${nextNumber++}`, service, () => link.port, replaceCrashed);

        /** The entry of a crashed sampler expires; a successor registers later, unless another one did. */
        async function replaceCrashed(id: string): Promise<void> {
            await clock.sleep(entryExpiryMs);
            writes.removeSampler(id);
            await clock.sleep(crashRestartMs - entryExpiryMs);
            if (slot.sampler?.id === id && !hasLeft && !isClosed) {
                slot.sampler = await startNext();
            }
        }

        slot.sampler = await startNext();
        return {
            service,
            link,
            current: () => slot.sampler!,
            replace: async isAnnounced => {
                if (hasLeft) {
                    return;
                }
                const old = slot.sampler!;
                await deregisterSampler(old, isAnnounced);
                slot.sampler = await startNext();
                old.close();
            },
            leave: async isAnnounced => {
                hasLeft = true;
                await deregisterSampler(slot.sampler!, isAnnounced);
            },
        };
    }

    return {
        eventsPerItem,
        samplers,
        leftAtMs,
        create: createSlot,
        stop: () => {
            isClosed = true;
        },
    };
}
