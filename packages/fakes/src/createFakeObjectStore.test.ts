import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import { expect, test } from "vitest";
import { createFakeObjectStore } from "./createFakeObjectStore.js";

const noVersion = 0 as ObjectVersion;
const codeName = (call: Promise<unknown>): Promise<string> =>
    call.then(() => "ok", error => codeOf(error).name);

function createFixture(options: { historyChanges?: number; writesPerSecond?: number; } = {}) {
    const clock = createFakeClock();
    return { clock, ...createFakeObjectStore({ clock, random: createRandom(1), ...options }) };
}

test("a write succeeds only on the expected version, and versions increase over the whole store", async () => {
    const { store } = createFixture();
    const first = await store.write("a", { n: 1 }, noVersion);
    const second = await store.write("b", { n: 2 }, noVersion);
    const raced = await store.write("a", { n: 3 }, noVersion);
    expect({ first, second, raced }).toMatchInlineSnapshot(`
      {
        "first": {
          "kind": "written",
          "version": 1,
        },
        "raced": {
          "current": {
            "key": "a",
            "value": {
              "n": 1,
            },
            "version": 1,
          },
          "kind": "conflict",
        },
        "second": {
          "kind": "written",
          "version": 2,
        },
      }
    `);
});

test("a watch resolves at once on a change under its prefix and ignores other changes", async () => {
    const { clock, store } = createFixture();
    let wokeAtMs = -1;
    const watched = store.watch("jobs/", noVersion, 10_000).then(found => {
        wokeAtMs = clock.monotonicMs();
        return found;
    });
    clock.startTimer(100, () => void store.write("other", 1, noVersion));
    clock.startTimer(200, () => void store.write("jobs/a", 1, noVersion));
    await clock.advance(300);
    expect(wokeAtMs).toBe(200);
    expect((await watched).changes).toEqual([{ key: "jobs/a", version: 2, value: 1 }]);
});

// Guards against a watcher that keeps objects whose removal it missed.
test("a watcher that is behind the history gets a full list", async () => {
    const { store } = createFixture({ historyChanges: 2 });
    const made = await store.write("gone", 1, noVersion);
    await store.remove("gone", made.kind === "written" ? made.version : noVersion);
    for (let n = 0; n < 10; n++) {
        await store.write(`k${n}`, n, noVersion);
    }
    const found = await store.watch("k", 1 as ObjectVersion, 0);
    expect(found.relisted).toBe(true);
    expect(found.changes.length).toBe(10);
});

test("a write whose answer is lost still takes effect", async () => {
    const { store, control } = createFixture();
    control.loseAnswers(1);
    expect(await codeName(store.write("a", 7, noVersion))).toBe("storeUnavailable");
    expect(control.peek("a")).toBe(7);
});

test("an outage rejects calls and waiting watches, and a stale replica returns an earlier value", async () => {
    const { clock, store, control } = createFixture();
    const watched = codeName(store.watch("", noVersion, 60_000));
    clock.startTimer(10, () => control.setOutage(true));
    await clock.advance(20);
    expect(await watched).toBe("storeUnavailable");
    expect(await codeName(store.read("a"))).toBe("storeUnavailable");
    control.setOutage(false);
    const first = await store.write("a", 1, noVersion);
    await store.write("a", 2, first.kind === "written" ? first.version : noVersion);
    control.setStaleReads(1);
    expect((await store.read("a"))?.value).toBe(1);
});

test("calls beyond the rate limit are refused and counted", async () => {
    const { store, control } = createFixture({ writesPerSecond: 2 });
    const names = [];
    for (let n = 0; n < 4; n++) {
        names.push(await codeName(store.write(`k${n}`, n, noVersion)));
    }
    expect(names).toEqual(["ok", "ok", "storeThrottled", "storeThrottled"]);
    expect(control.calls()).toMatchObject({ write: 4, throttled: 2 });
});
