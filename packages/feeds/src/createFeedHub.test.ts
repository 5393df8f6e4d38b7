import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { watchKind } from "@auburnarch/discovery/watchKind";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import { expect, test } from "vitest";
import { createFeedBackedStore } from "./createFeedBackedStore.js";
import { createFeedHub } from "./createFeedHub.js";
import { createRunnerCaller } from "./createRunnerCaller.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };

/** One feeding runner and one process that it feeds, each with its own connection to the same store. */
function createFixture() {
    const clock = createFakeClock();
    const { store, control } = createFakeObjectStore({ clock, random: createRandom(4), latencyMs: 2 });
    const state = {
        isCutOff: false,
        isFeederSilent: false,
        isHistoryDropped: false,
        storeAnsweredAtMs: 0,
        feeder: "r1",
        direct: 0,
        fed: 0,
    };

    /** While the runner is disconnected from the store, its calls hang. */
    async function callUnlessCutOff<T>(call: () => Promise<T>): Promise<T> {
        const found = await call();
        if (state.isCutOff) {
            await clock.sleep(3_000_000);
        }
        state.storeAnsweredAtMs = clock.monotonicMs();
        return found;
    }
    const runnerStore: Pick<ObjectStore, "list" | "watch"> = {
        list: prefix => callUnlessCutOff(() => store.list(prefix)),
        watch: (prefix, since, waitMs) => callUnlessCutOff(() => store.watch(prefix, since, waitMs)),
    };
    const hub = createFeedHub({
        self: "r1",
        feeder: (avoided = []) => avoided.includes(state.feeder) ? "r1" : state.feeder,
        store: runnerStore,
        // While connected, a process calls the store twice a second, so its last answer is always recent.
        coalesceMsOf: () => 100,
        sinceStoreAnswerMs: () => state.isCutOff ? clock.monotonicMs() - state.storeAnsweredAtMs : 0,
        sinceOutageMs: () => undefined,
        clock,
        logger: silent,
    });
    const gatewayStore: ObjectStore = {
        ...store,
        list: prefix => {
            state.direct++;
            return store.list(prefix);
        },
        watch: async (prefix, since, waitMs) => {
            state.direct++;
            if (state.isHistoryDropped) {
                await clock.sleep(waitMs);
            }
            return store.watch(prefix, since, waitMs);
        },
    };
    const fed = createFeedBackedStore({
        self: "front-1",
        waitForStore: async () => false,
        outages: { recordOutage: () => undefined, recordStoreUp: () => undefined },
        inner: gatewayStore,
        hub: () => undefined,
        caller: createRunnerCaller({
            self: "front-1",
            runners: () => new Map([["r1", { host: "h", port: 1 }]]),
            clock,
            logger: silent,
        }),
        send: async (_address, query, timeoutMs) => {
            state.fed++;
            if (state.isFeederSilent) {
                await clock.sleep(timeoutMs);
                throw new Error("no answer");
            }
            return hub.answer(query);
        },
        clock,
    });
    const follow = () => {
        const watch = watchKind<unknown>({
            store: fed,
            clock,
            logger: silent,
            kind: "servers",
            decode: (_name, value) => value,
        });
        return { watch, names: (): string => [...watch.objects()?.keys() ?? []].sort().join("") };
    };
    const put = async (key: string, value: unknown = key): Promise<void> => {
        const [current] = await Promise.all([store.read(key), clock.advance(10)]);
        await Promise.all([
            store.write(key, value, current?.version ?? 0 as ObjectVersion),
            clock.advance(10),
        ]);
    };
    const remove = async (key: string): Promise<void> => {
        const [current] = await Promise.all([store.read(key), clock.advance(10)]);
        await Promise.all([store.remove(key, current!.version), clock.advance(10)]);
    };
    return { clock, control, state, hub, fed, follow, put, remove };
}

test("a fed process sees every change without calling the store", async () => {
    // Without a feed, 3,000 of 5,754 store calls in a day without faults with 34 processes were lists and watches,
    // one each per change.
    const { clock, state, hub, follow, put, remove } = createFixture();
    await put("servers/a");
    const { watch, names } = follow();
    await clock.advance(300);
    const seen = [names()];
    await put("servers/b");
    await clock.advance(200);
    seen.push(names());
    await remove("servers/a");
    await clock.advance(200);
    seen.push(names());
    await clock.advance(30_000);
    expect([seen, state.direct, state.fed < 60]).toEqual([["a", "ab", "b"], 0, true]);
    watch.stop();
    hub.stop();
});

test("a change is seen within two seconds although the feeding runner cannot reach the store", async () => {
    // Guards against a draining sampler that gets new requests for three seconds.
    const { clock, state, hub, follow, put } = createFixture();
    await put("servers/a");
    const { watch, names } = follow();
    await clock.advance(2_000);
    state.isCutOff = true;
    await put("servers/b");
    await clock.advance(1_600);
    expect([names(), state.direct > 0]).toEqual(["ab", true]);
    state.isCutOff = false;
    await put("servers/c");
    await clock.advance(1_000);
    expect(names()).toBe("abc");
    watch.stop();
    hub.stop();
});

test("a change is seen within two seconds although the feeding runner stops answering", async () => {
    // Guards against a query that hangs.
    const { clock, state, hub, follow, put } = createFixture();
    await put("servers/a");
    const { watch, names } = follow();
    await clock.advance(2_000);
    state.isFeederSilent = true;
    await put("servers/b");
    await clock.advance(1_500);
    expect(names()).toBe("ab");
    watch.stop();
    hub.stop();
});

test("a change is seen within two seconds although the store drops its history while the runner is disconnected", async () => {
    // Guards against a route refused as unknown 4.2 s after the configuration that added it was acknowledged.
    const { clock, state, hub, follow, put } = createFixture();
    await put("servers/a");
    const { watch, names } = follow();
    await clock.advance(2_000);
    state.isHistoryDropped = true;
    state.isCutOff = true;
    await put("servers/b");
    await clock.advance(1_800);
    expect(names()).toBe("ab");
    watch.stop();
    hub.stop();
});

test("a process that is ahead of the feeding runner does not go back", async () => {
    // Guards against a removed sampler that gets requests again.
    const { clock, hub, fed, put } = createFixture();
    await put("servers/a");
    const [listed] = await Promise.all([fed.list("servers/"), clock.advance(100)]);
    const ahead = (listed.revision as number) + 7 as ObjectVersion;
    const [answer] = await Promise.all([fed.watch("servers/", ahead, 500), clock.advance(700)]);
    expect(answer).toEqual({ changes: [], revision: ahead });
    hub.stop();
});

test("a process that is far behind gets all objects of its prefix, and no others", async () => {
    const { clock, hub, fed, put } = createFixture();
    await put("servers/a");
    await put("servers/ab");
    await put("servers/b");
    const [answer] = await Promise.all([fed.watch("servers/a", 0 as ObjectVersion, 500), clock.advance(700)]);
    expect([answer.relisted, answer.changes.map(change => change.key)]).toEqual([true, [
        "servers/a",
        "servers/ab",
    ]]);
    hub.stop();
});

test("a runner that does not feed redirects to the one that does, and a stopped one is unsure", async () => {
    const { state, hub } = createFixture();
    state.feeder = "r2";
    expect(await hub.answer({ prefix: "servers/", waitMs: 0 })).toEqual({ kind: "elsewhere", runner: "r2" });
    hub.stop();
    state.feeder = "r1";
    expect(await hub.answer({ prefix: "servers/", waitMs: 0 })).toEqual({ kind: "unsure" });
});

test("a runner answers in place of an avoided one, and stops following once such queries end", async () => {
    // Guards against all runners following the store for seconds after each start.
    const { clock, control, state, hub, put } = createFixture();
    await put("servers/a");
    const query = { prefix: "servers/", waitMs: 100 };
    const ask = async (avoided: string[]) => {
        const [answer] = await Promise.all([hub.answer({ ...query, avoided }), clock.advance(200)]);
        return answer.kind;
    };
    /** A followed copy watches again after each change. */
    const isFollowing = async (): Promise<boolean> => {
        const before = control.calls().watch;
        await put("servers/a", control.calls());
        await clock.advance(500);
        return control.calls().watch > before;
    };
    const asFeeder = [await ask([]), await isFollowing()];
    state.feeder = "r0";
    await clock.advance(300);
    const declined = [await ask([]), await isFollowing()];
    const backup = [await ask(["r0"]), await isFollowing()];
    await clock.advance(4_000);
    const afterwards = await isFollowing();
    expect({ asFeeder, declined, backup, afterwards }).toEqual({
        asFeeder: ["listed", true],
        declined: ["elsewhere", false],
        backup: ["listed", true],
        afterwards: false,
    });
    hub.stop();
});
