import { createRandom } from "@auburnarch/clock/createRandom";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import type { Random } from "@auburnarch/types/Random";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import { expect, test } from "vitest";
import { createFeedFleet } from "./testing/createFeedFleet.js";
import type { FeedFaults } from "./testing/FeedFaults.js";

const service = "tiles" as ServiceId;
const gateways = 1;
const processes = [["a gateway", "g0"], ["a runner", "r1"]] as const;
const runnerNames = ["r1", "r2", "r3", "r4"];
const seeds = [...Array.from({ length: 40 }, (_, at) => at + 1), 46, 85, 125, 150, 159];
/** One sampler leaves in each network cut. */
const samplerNames = ["a", "b", "c", "d"];
const cutsPerSeed = samplerNames.length;
const maxCutMs = 12_000;
/** Time from the end of the faults until a process must be up to date, in the deployment with the tightest limits. */
const reconnectedAfterMs = 3_000;
/** Samplers whose entries expired are registered again within this time after the store recovers. */
const maxReregistrationMs = 2_000;
const stepMs = 20;
const noFaults: FeedFaults = { isStoreDown: () => false, isReachable: () => true };

/** The watched process is isolated; each runner may lose the store or all processes, also beyond the end of the cut. */
function drawCut(watched: string, random: Random): { during: FeedFaults; after: FeedFaults; } {
    const hasRunnerFaults = random.nextUnit() < 0.5;
    const others = runnerNames.filter(name => name !== watched);
    const withoutStore = new Set(others.filter(() => hasRunnerFaults && random.nextUnit() < 0.3));
    const unreachable = new Set(others.filter(() => hasRunnerFaults && random.nextUnit() < 0.3));
    const after: FeedFaults = {
        isStoreDown: process => withoutStore.has(process),
        isReachable: (from, to) => !unreachable.has(from) && !unreachable.has(to),
    };
    const during: FeedFaults = {
        isStoreDown: process => process === watched || after.isStoreDown(process),
        isReachable: (from, to) => from !== watched && to !== watched && after.isReachable(from, to),
    };
    return { during, after };
}

/** Isolates a process repeatedly; calls `change` during each cut and `check` once the process must be up to date. */
async function simulateCuts(
    watched: string,
    seed: number,
    change: (fleet: ReturnType<typeof createFeedFleet>, cut: number, random: Random) => Promise<void>,
    check: (fleet: ReturnType<typeof createFeedFleet>, cut: number) => void,
): Promise<void> {
    const random = createRandom(seed);
    const fleet = createFeedFleet(gateways);
    const { clock, state } = fleet;
    const setFaults = (faults: FeedFaults): void => {
        state.faults = faults;
        state.faultsSinceMs = clock.monotonicMs();
    };
    for (const name of samplerNames) {
        await fleet.put(`servers/${name}`, createTestSampler(name));
    }
    await clock.advance(3_000);
    for (let cut = 0; cut < cutsPerSeed; cut++) {
        const { during, after } = drawCut(watched, random);
        setFaults(during);
        await clock.advance(random.nextInt(maxCutMs));
        await change(fleet, cut, random);
        await clock.advance(random.nextInt(maxCutMs));
        setFaults(after);
        await clock.advance(reconnectedAfterMs);
        for (let waitedMs = 0; waitedMs < reconnectedAfterMs; waitedMs += stepMs) {
            check(fleet, cut);
            await clock.advance(stepMs);
        }
        setFaults(noFaults);
        await clock.advance(random.nextInt(maxCutMs));
    }
}

test.each(processes)(
    "after %s reconnects, it does not send to samplers that left while it was isolated",
    async (_, watched) => {
        const sent = new Set<string>();
        await Promise.all(seeds.map(seed =>
            simulateCuts(
                watched,
                seed,
                async ({ put, remove }, cut, random) => {
                    const name = samplerNames[cut]!;
                    if (random.nextUnit() < 0.5) {
                        await put(`servers/${name}`, createTestSampler(name, { isDraining: true }));
                    }
                    await remove(`servers/${name}`);
                },
                ({ viewOf }, cut) => {
                    const left = samplerNames.slice(0, cut + 1);
                    viewOf(watched).directory.serving(service)
                        .filter(({ instance }) => left.includes(instance))
                        .forEach(({ instance }) => sent.add(`seed ${seed} ${instance}`));
                },
            )
        ));
        expect([...sent]).toEqual([]);
    },
);

test.each(processes)(
    "after %s reconnects, changes of every kind that it missed are active",
    async (_, watched) => {
        const late = new Set<string>();
        const written = new Map<number, number>();
        await Promise.all(seeds.map(seed =>
            simulateCuts(
                watched,
                seed,
                async ({ put, clock }) => {
                    written.set(seed, clock.monotonicMs());
                    await put("config/main");
                    await put("runners/r9");
                    await put(
                        "servers/e",
                        createTestSampler("e", { maxBatch: Math.floor(clock.monotonicMs()) }),
                    );
                },
                ({ viewOf }, cut) => {
                    const sinceMs = Math.floor(written.get(seed)!);
                    const { config, runners, directory } = viewOf(watched);
                    const found = {
                        config: Number(config.objects()?.get("main")),
                        runners: Number(runners.objects()?.get("r9")),
                        servers: directory.serving(service).find(({ instance }) => instance === "e")?.maxBatch
                            ?? 0,
                    };
                    Object.entries(found)
                        .filter(([, value]) => !(value >= sinceMs))
                        .forEach(([kind]) => late.add(`seed ${seed} cut ${cut} ${kind}`));
                },
            )
        ));
        expect([...late]).toEqual([]);
    },
);

test.each(processes)(
    "%s keeps using samplers whose entries expire during an outage of the store until they register again",
    async (_, watched) => {
        const refused = new Set<number>();
        await Promise.all(seeds.map(async seed => {
            const random = createRandom(seed);
            const { clock, state, put, remove, viewOf } = createFeedFleet(gateways);
            const { directory } = viewOf(watched);
            await put("servers/a", createTestSampler("a"));
            await clock.advance(3_000);
            for (let outage = 0; outage < cutsPerSeed; outage++) {
                state.faults = { ...noFaults, isStoreDown: () => true };
                state.faultsSinceMs = clock.monotonicMs();
                await clock.advance(2_000 + random.nextInt(maxCutMs));
                await remove("servers/a");
                state.faults = noFaults;
                const backAtMs = clock.monotonicMs() + random.nextInt(maxReregistrationMs);
                while (clock.monotonicMs() < backAtMs) {
                    if (directory.serving(service).length === 0) {
                        refused.add(seed);
                    }
                    await clock.advance(stepMs);
                }
                await put("servers/a", createTestSampler("a"));
                await clock.advance(6_000);
            }
        }));
        expect([...refused]).toEqual([]);
    },
);
