import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { LogFields } from "@auburnarch/types/LogFields";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import { expect, test } from "vitest";
import { createRoutingView } from "./createRoutingView.js";
import { createSamplerDirectory } from "./createSamplerDirectory.js";
import type { RegisteredSampler } from "./RegisteredSampler.js";
import type { SamplerDirectory } from "./SamplerDirectory.js";
import { createTestSampler } from "./testing/createTestSampler.js";
import type { WatchedKind } from "./WatchedKind.js";
import { watchKind } from "./watchKind.js";

const absentVersion = 0 as ObjectVersion;
const service = "tiles" as ServiceId;
const entryOf = (name: string, isDraining = false): RegisteredSampler =>
    createTestSampler(name, { isDraining });

function createFixture(historyChanges?: number) {
    const clock = createFakeClock();
    const { store, control } = createFakeObjectStore({
        clock,
        random: createRandom(4),
        latencyMs: 2,
        historyChanges,
    });
    const lines: string[] = [];
    const recordEvent = (event: string, _fields?: LogFields): void => void lines.push(event);
    const logger: Logger = { info: recordEvent, warn: recordEvent, error: recordEvent, child: () => logger };
    const settle = async <T>(call: Promise<T>): Promise<T> => {
        await clock.advance(20);
        return call;
    };
    const put = async (key: string, value: unknown): Promise<void> => {
        const current = await settle(store.read(key));
        await settle(store.write(key, value, current?.version ?? absentVersion));
    };
    const remove = async (key: string): Promise<void> => {
        const current = await settle(store.read(key));
        await settle(store.remove(key, current!.version));
    };
    const watched = { store, clock, logger };
    /** Time of the store's last outage as reported by other processes. */
    const lastOutage = { atMs: -Infinity };
    const directoryOf = (entries: WatchedKind<RegisteredSampler>): SamplerDirectory =>
        createSamplerDirectory({
            entries,
            sinceOutageMs: () => clock.monotonicMs() - lastOutage.atMs,
            clock,
            logger,
        });
    const samplers = () =>
        watchKind<RegisteredSampler>({
            ...watched,
            kind: "servers",
            decode: (_name, value) => value as RegisteredSampler,
        });
    return { clock, control, lines, logger, put, remove, watched, samplers, lastOutage, directoryOf };
}

test("a copy follows changes through an outage and discarded history", async () => {
    const { clock, control, lines, put, remove, samplers } = createFixture(2);
    const watch = samplers();
    const names = (): string[] => [...watch.objects()?.keys() ?? []].sort();
    expect(watch.objects()).toBeUndefined();
    await put("servers/a", entryOf("a"));
    await put("servers/b", entryOf("b"));
    await clock.advance(200);
    expect(names()).toEqual(["a", "b"]);
    await remove("servers/a");
    await clock.advance(200);
    expect(names()).toEqual(["b"]);
    control.setOutage(true);
    await clock.advance(6_000);
    expect(names()).toEqual(["b"]);
    control.setOutage(false);
    for (const name of ["c", "d", "e", "f"]) {
        await put(`servers/${name}`, entryOf(name));
    }
    await clock.advance(6_000);
    expect(names()).toEqual(["b", "c", "d", "e", "f"]);
    expect(lines.filter(line => line.startsWith("store"))).toEqual(["storeLost", "storeRegained"]);
    watch.stop();
});

test("a change is received at once although a watch on discarded history receives nothing", async () => {
    // Guards against refusing a route as unknown 4.2 s after the configuration that added it was acknowledged.
    const { clock, put, watched } = createFixture();
    let isHistoryDiscarded = false;
    const { store } = watched;
    const watch: typeof store.watch = async (prefix, since, waitMs) => {
        const isOld = isHistoryDiscarded;
        const found = await store.watch(prefix, since, waitMs);
        if (isHistoryDiscarded && !isOld) {
            throw new ResultError(resultCodes.storeUnavailable);
        }
        if (isOld) {
            await clock.sleep(waitMs);
        }
        return found;
    };
    const copy = watchKind<unknown>({
        ...watched,
        store: { ...store, watch },
        kind: "config",
        decode: (_name, value) => value,
    });
    await put("config/main", 1);
    await clock.advance(400);
    isHistoryDiscarded = true;
    await put("config/main", 2);
    await clock.advance(900);
    expect([...copy.objects()!.values()]).toEqual([2]);
    copy.stop();
});

test("an older list does not restore removed objects", async () => {
    // Guards against a removed sampler that receives requests again.
    const { clock, control, put, remove, samplers } = createFixture();
    await put("servers/a", entryOf("a"));
    await put("servers/b", entryOf("b"));
    const watch = samplers();
    const names = (): string[] => [...watch.objects()?.keys() ?? []];
    await clock.advance(200);
    await remove("servers/a");
    await clock.advance(200);
    control.setStaleReads(1);
    control.setOutage(true);
    await clock.advance(1_000);
    control.setOutage(false);
    await clock.advance(1_000);
    expect(names()).toEqual(["b"]);
    control.setStaleReads(0);
    await put("servers/c", entryOf("c"));
    await clock.advance(1_000);
    expect(names()).toEqual(["b", "c"]);
    watch.stop();
});

test("a sampler whose entry expired in an outage is retained until it can register again unless it drains", async () => {
    // Guards against refusing all requests for a second after each outage of the store.
    const { clock, control, put, remove, samplers, lastOutage, directoryOf } = createFixture();
    await put("servers/a", entryOf("a"));
    await put("servers/b", entryOf("b", true));
    const directory = directoryOf(samplers());
    const serving = (): string[] => directory.serving(service).map(sampler => sampler.incarnation);
    await clock.advance(1_000);
    expect(serving()).toEqual(["a"]);
    control.setOutage(true);
    await clock.advance(5_000);
    control.setOutage(false);
    lastOutage.atMs = clock.monotonicMs();
    await remove("servers/a");
    await remove("servers/b");
    await clock.advance(800);
    expect(serving()).toEqual(["a"]);
    await clock.advance(4_000);
    expect(serving()).toEqual([]);
});

test("a sampler whose entry expired is retained longer if another outage begins before it could register", async () => {
    const { clock, control, put, remove, samplers, lastOutage, directoryOf } = createFixture();
    await put("servers/a", entryOf("a"));
    const directory = directoryOf(samplers());
    const kept: number[] = [];
    await clock.advance(1_000);
    for (let outage = 0; outage < 2; outage++) {
        control.setOutage(true);
        for (let second = 0; second < 5; second++) {
            lastOutage.atMs = clock.monotonicMs();
            kept.push(directory.serving(service).length);
            await clock.advance(1_000);
        }
        control.setOutage(false);
        lastOutage.atMs = clock.monotonicMs();
        if (outage === 0) {
            await remove("servers/a");
        }
        await clock.advance(1_000);
    }
    expect([kept, directory.serving(service).length]).toEqual([Array(10).fill(1), 1]);
    await clock.advance(2_000);
    expect(directory.serving(service)).toEqual([]);
});

test("a sampler removed while only this process was disconnected from the store is not retained", async () => {
    const { clock, control, put, remove, samplers, directoryOf } = createFixture();
    await put("servers/a", entryOf("a"));
    const directory = directoryOf(samplers());
    await clock.advance(1_000);
    control.setOutage(true);
    await clock.advance(5_000);
    control.setOutage(false);
    await remove("servers/a");
    await clock.advance(800);
    expect(directory.serving(service)).toEqual([]);
});

test("a restarted sampler has a new incarnation, and a late entry of its earlier start is ignored", async () => {
    const { clock, lines, put, samplers, directoryOf } = createFixture();
    const startOf = (bornAtMs: number, isDraining = false): RegisteredSampler => ({
        ...entryOf("a", isDraining),
        incarnation: `a@${bornAtMs}` as IncarnationId,
        bornAtMs,
    });
    const directory = directoryOf(samplers());
    const serving = (): string[] => directory.serving(service).map(sampler => sampler.incarnation);
    const seen: string[][] = [];
    for (const entry of [startOf(1_000), startOf(2_000), startOf(1_000, true), startOf(2_000, true)]) {
        await put("servers/a", entry);
        await clock.advance(100);
        seen.push(serving());
    }
    expect(seen).toEqual([["a@1000"], ["a@2000"], ["a@2000"], []]);
    expect(directory.find("a@1000" as IncarnationId)).toBeUndefined();
    expect(lines).toContain("samplerEarlierStartIgnored");
});

test("an object that cannot be decoded is logged once per revision and does not affect others", async () => {
    // Guards against one log line per response for as long as an entry of another writer exists.
    const { clock, control, lines, put, watched } = createFixture(1);
    const copy = watchKind<number>({
        ...watched,
        kind: "servers",
        decode: (_name, value) => typeof value === "number" ? value : undefined,
    });
    await put("servers/a", 1);
    await put("servers/b", "?");
    for (let round = 0; round < 3; round++) {
        control.setOutage(true);
        await clock.advance(1_000);
        control.setOutage(false);
        await clock.advance(1_000);
    }
    expect([[...copy.objects()!], lines.filter(line => line === "objectNotUnderstood").length]).toEqual([
        [["a", 1]],
        1,
    ]);
    await put("servers/b", "!");
    await clock.advance(100);
    expect(lines.filter(line => line === "objectNotUnderstood").length).toBe(2);
    copy.stop();
});

test("a sampler that drains, or is removed without an outage, is omitted immediately", async () => {
    const { clock, put, remove, samplers, directoryOf } = createFixture();
    await put("servers/a", entryOf("a"));
    await put("servers/b", entryOf("b"));
    const directory = directoryOf(samplers());
    const serving = (): string[] => directory.serving(service).map(sampler => sampler.incarnation);
    await clock.advance(200);
    await put("servers/a", entryOf("a", true));
    await clock.advance(50);
    expect(serving()).toEqual(["b"]);
    await remove("servers/b");
    await clock.advance(50);
    expect(serving()).toEqual([]);
});

test("the configuration version never decreases, whatever the store returns", async () => {
    // Guards against refusing a route as unknown that has already served requests.
    const { clock, lines, logger, put, watched } = createFixture();
    const tableOf = (version: number): RoutingTable =>
        ({ version: version as ConfigVersion, routes: [] }) as unknown as RoutingTable;
    const tables = watchKind<RoutingTable>({
        ...watched,
        kind: "config",
        decode: (_name, value) => value as RoutingTable,
    });
    const view = createRoutingView(tables, logger);
    const seen: (number | undefined)[] = [view()?.version];
    for (const version of [3, 9, 4, 12]) {
        await put("config/main", tableOf(version));
        await clock.advance(200);
        seen.push(view()?.version);
    }
    expect(seen).toEqual([undefined, 3, 9, 9, 12]);
    expect(lines).toContain("configOlderIgnored");
});
