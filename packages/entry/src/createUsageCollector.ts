import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { UsageCounter } from "@auburnarch/types/UsageCounter";
import { mergeUsage } from "@auburnarch/usage/mergeUsage";
import { z } from "zod";
import type { UsageCollector } from "./UsageCollector.js";

const collectEveryMs = 5_000;
/** If an entry and a sidecar crash together, at most this period of usage is lost. */
const flushEveryMs = 30_000;
const noObject = 0 as ObjectVersion;

const countersSchema = z.object({
    counters: z.array(z.object({
        sampler: z.string(),
        incarnation: z.string(),
        team: z.string(),
        job: z.string().optional(),
        engineMs: z.number().nonnegative(),
        tokens: z.number().nonnegative(),
        requests: z.number().nonnegative(),
    })),
});

interface UsageCollectorDeps {
    self: EntryId;
    clock: Clock;
    logger: Logger;
    store: ObjectStore;
    /** Lists the samplers that this entry collects from: those that rank it first among the live entries. */
    listAssignedSamplers: () => SamplerId[];
    sidecar: (sampler: SamplerId) => Pick<SidecarPort, "readUsage">;
}

const parseCounters = (value: unknown): UsageCounter[] => {
    const parsed = countersSchema.safeParse(value);
    return parsed.success ? parsed.data.counters as unknown as UsageCounter[] : [];
};

/**
 * Creates the usage collector. Each entry writes its own object, so there are no write conflicts between entries. The
 * same counter may be in several objects; merging by maximum counts it once.
 */
export function createUsageCollector(deps: UsageCollectorDeps): UsageCollector {
    const { clock, logger, store } = deps;
    const key = `usage/${deps.self}`;
    const stopped = new AbortController();
    let counters: UsageCounter[] = [];
    let version: ObjectVersion | undefined;
    let flushedText = "[]";
    let flushing: Promise<void> = Promise.resolve();

    async function collect(): Promise<string[]> {
        const unread: string[] = [];
        await Promise.all(
            deps.listAssignedSamplers().map(async sampler => {
                try {
                    counters = mergeUsage(counters, await deps.sidecar(sampler).readUsage());
                }
                catch {
                    unread.push(sampler);
                }
            }),
        );
        return unread;
    }

    /** An earlier run of this entry may have written counters; they are merged before the object is overwritten. */
    async function readVersion(): Promise<ObjectVersion> {
        const stored = await store.read(key);
        counters = mergeUsage(counters, parseCounters(stored?.value));
        return stored?.version ?? noObject;
    }

    async function write(): Promise<void> {
        const text = JSON.stringify(counters);
        if (text === flushedText) {
            return;
        }
        const expected = version ?? await readVersion();
        version = undefined;
        const outcome = await store.write(key, { counters }, expected);
        if (outcome.kind === "written") {
            version = outcome.version;
            flushedText = text;
        }
    }

    function flush(): Promise<void> {
        flushing = flushing.catch(() => undefined).then(write);
        return flushing;
    }

    async function loop(everyMs: number, run: () => Promise<unknown>): Promise<void> {
        while (!stopped.signal.aborted) {
            await clock.sleep(everyMs, stopped.signal);
            if (!stopped.signal.aborted) {
                await run().catch(error => logger.warn("usageNotKept", { code: codeOf(error).name }));
            }
        }
    }

    return {
        start: () => {
            void loop(collectEveryMs, collect);
            void loop(flushEveryMs, flush);
        },
        stop: () => stopped.abort(),
        collect,
        flush,
        readAll: async () => {
            const { objects } = await store.list("usage/");
            return mergeUsage(counters, ...objects.map(each => parseCounters(each.value)));
        },
        listCollected: () => counters,
    };
}
