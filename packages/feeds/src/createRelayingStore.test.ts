import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createRelayedCalls } from "./createRelayedCalls.js";
import { createRelayingStore } from "./createRelayingStore.js";
import { performStoreCall } from "./performStoreCall.js";
import type { StoreRelays } from "./StoreRelays.js";

/**
 * What becomes of one copy of a call. `late`: it takes effect after the caller has stopped waiting; `notServed`: the runner
 * does not know the method.
 */
type Fate = "served" | "slow" | "refused" | "answerLost" | "lost" | "late" | "notServed";

const absent = 0 as ObjectVersion;
const address = { host: "127.0.0.1", port: 1 };
const callTimeoutMs = 1_200;

function createFixture(
    options: {
        direct: Fate[];
        relayed: Fate[];
        isDoubtful?: boolean;
        answersOthers?: boolean;
        /** No relay can be used before. */
        relayFoundAtMs?: number;
    },
) {
    const clock = createFakeClock();
    const { store, control } = createFakeObjectStore({ clock, random: createRandom(1), latencyMs: 4 });
    const sent: string[] = [];
    const state = { unansweredMs: 0, silentMs: options.isDoubtful === true ? 700 : 0 };

    async function suffer<T>(fate: Fate, timeoutMs: number, call: () => Promise<T>): Promise<T> {
        const lose = (): never => {
            throw new ResultError(resultCodes.storeUnavailable);
        };
        switch (fate) {
            case "served":
                return call();
            case "slow":
                await clock.sleep(timeoutMs - 100);
                return call();
            case "refused":
                throw new ResultError(resultCodes.storeThrottled);
            case "notServed":
                throw new ResultError(resultCodes.badRequest, "method runner.store");
            case "answerLost":
                await call().catch(() => undefined);
                return lose();
            case "late":
                clock.startTimer(timeoutMs + 500, () => void call().catch(() => undefined));
                await clock.sleep(timeoutMs);
                return lose();
            case "lost":
                await clock.sleep(timeoutMs);
                return lose();
        }
    }

    const direct = (): Fate => options.direct.shift() ?? "lost";
    async function callDirectly<T>(call: () => Promise<T>): Promise<T> {
        sent.push("direct");
        const sentAtMs = clock.monotonicMs();
        const growing = (): void => {
            state.unansweredMs = options.answersOthers === true ? 0 : clock.monotonicMs() - sentAtMs;
            clock.startTimer(10, growing);
        };
        growing();
        return suffer(direct(), callTimeoutMs, call).catch((error: unknown) => {
            state.silentMs = 1;
            throw error;
        });
    }
    const directStore: ObjectStore = {
        ...store,
        read: key => callDirectly(() => store.read(key)),
        write: (...call) => callDirectly(() => store.write(...call)),
        remove: (...call) => callDirectly(() => store.remove(...call)),
    };
    let next = 0;
    const dropped: string[] = [];
    const relays: StoreRelays = {
        choose: async () =>
            next < options.relayed.length && clock.monotonicMs() >= (options.relayFoundAtMs ?? 0)
                ? { name: `storage-${next}`, address }
                : undefined,
        confirm: () => {},
        drop: (name, excludeMs, reason) => {
            dropped.push(`${name} ${reason} ${excludeMs}`);
            next++;
        },
        isUsable: () => true,
        sinceConfirmedMs: () => 0,
    };
    const relaying = createRelayingStore({
        direct: directStore,
        reach: () => state,
        relayCall: createRelayedCalls({
            relays,
            send: async (_address, call, timeoutMs) => {
                sent.push(`storage-${next}`);
                const fate = options.relayed[next]!;
                if (fate === "refused") {
                    return { kind: "refused", code: resultCodes.storeThrottled.number };
                }
                const performed = await suffer(fate, timeoutMs, () => performStoreCall(store, call));
                return performed.answer;
            },
            record: () => {},
            clock,
        }),
        isRelayable: key => !key.startsWith("config/"),
        clock,
    });
    async function settle<T>(call: Promise<T>): Promise<T | string> {
        const settled = call.catch((error: unknown) => codeOf(error).name);
        await clock.advance(6_000);
        return settled;
    }
    return { clock, store, control, relaying, sent, dropped, settle };
}

test("a call goes to the store itself while it answers, also if it answers slowly", async () => {
    const quick = createFixture({ direct: ["served"], relayed: ["served"] });
    expect(await quick.settle(quick.relaying.write("lots/a", 1, absent))).toMatchObject({ kind: "written" });
    const slow = createFixture({ direct: ["slow"], relayed: ["served"], answersOthers: true });
    expect(await slow.settle(slow.relaying.write("lots/a", 1, absent))).toMatchObject({ kind: "written" });
    // Guards against copies of each call that add to the load of a slow store.
    expect([quick.sent, slow.sent]).toEqual([["direct"], ["direct"]]);
});

test("a call without an answer is sent through a peer after 0.3 s, and one that the store refuses at once", async () => {
    for (const fate of ["lost", "refused", "answerLost", "late"] as const) {
        const { clock, relaying, sent } = createFixture({ direct: [fate], relayed: ["served"] });
        const answered = relaying.write("lots/a", { n: 1 }, absent);
        await clock.advance(400);
        expect([await answered, sent]).toMatchObject([{ kind: "written" }, ["direct", "storage-0"]]);
    }
});

test("a process that does not reach the store sends no call there, and one relay after another if they die", async () => {
    const relayed: Fate[] = ["lost", "notServed", "served"];
    const { relaying, sent, dropped, settle } = createFixture({ direct: [], relayed, isDoubtful: true });
    expect(await settle(relaying.write("lots/a", 1, absent))).toMatchObject({ kind: "written" });
    expect([sent, dropped]).toEqual([
        ["storage-0", "storage-1", "storage-2"],
        ["storage-0 noAnswer 2000", "storage-1 notServed 10000"],
    ]);
});

test("without a relay, and for keys that are not relayed, every call is made directly", async () => {
    const none = createFixture({ direct: ["served"], relayed: [], isDoubtful: true });
    expect(await none.settle(none.relaying.read("lots/a"))).toBe(undefined);
    const foreign = createFixture({ direct: ["served"], relayed: ["served"], isDoubtful: true });
    await foreign.settle(foreign.relaying.read("config/main"));
    expect([none.sent, foreign.sent]).toEqual([["direct"], ["direct"]]);
});

test("a call that found no relay goes through one as soon as there is one", async () => {
    // Guards against a lease that lapses while its renewal waits for a store that a peer reaches by then.
    for (const relayFoundAtMs of [200, 500, 800]) {
        const { clock, relaying, sent } = createFixture({
            direct: ["lost"],
            relayed: ["served"],
            isDoubtful: true,
            relayFoundAtMs,
        });
        const answered = relaying.write("lots/a", { n: 1 }, absent);
        await clock.advance(relayFoundAtMs + 300);
        expect([await Promise.race([answered, "no answer yet"]), sent]).toMatchObject([{ kind: "written" }, [
            "direct",
            "storage-0",
        ]]);
    }
});

test("a removal that is sent twice is reported as done once", async () => {
    const { store, relaying, settle, clock } = createFixture({ direct: ["answerLost"], relayed: ["served"] });
    const stored = store.write("lots/a", 1, absent);
    await clock.advance(100);
    const { version } = await stored as { version: ObjectVersion; };
    expect(await settle(relaying.remove("lots/a", version))).toMatchObject({ kind: "written" });
});

test("a refusal after a copy without an answer does not state that nothing was done", async () => {
    // Guards against a batch job that is answered 503 and runs: the first relay made the write and died.
    const { relaying, settle, control } = createFixture({
        direct: [],
        relayed: ["answerLost", "refused"],
        isDoubtful: true,
    });
    expect(await settle(relaying.write("lots/a", 1, absent))).toBe("storeUnavailable");
    expect(control.peek("lots/a")).toBe(1);
});

test("whatever becomes of the copies of a write, its outcome is true and it takes effect at most once", async () => {
    const fates = fc.constantFrom<Fate>(
        "served",
        "slow",
        "refused",
        "answerLost",
        "lost",
        "late",
        "notServed",
    );
    const directFates = fates.filter(fate => fate !== "notServed");
    await fc.assert(
        fc.asyncProperty(
            directFates,
            fc.array(fates, { maxLength: 3 }),
            fc.boolean(),
            async (direct, relayed, isDoubtful) => {
                const { relaying, settle, control } = createFixture({
                    direct: [direct],
                    relayed,
                    isDoubtful,
                });
                const outcome = await settle(relaying.write("lots/a", { n: 1, left: undefined }, absent));
                const isStored = control.peek("lots/a") !== undefined;
                expect(control.revision()).toBeLessThanOrEqual(1);
                if (typeof outcome === "string") {
                    expect(outcome === "storeThrottled" && isStored).toBe(false);
                    expect(["storeThrottled", "storeUnavailable"]).toContain(outcome);
                }
                else {
                    expect([outcome.kind, isStored]).toEqual(["written", true]);
                }
            },
        ),
    );
});
