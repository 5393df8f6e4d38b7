import { createRandom } from "@auburnarch/clock/createRandom";
import { expect, test } from "vitest";
import { createFeedFleet } from "./testing/createFeedFleet.js";
import type { FeedFaults } from "./testing/FeedFaults.js";

const faultsPerSeed = 8;
const maxFaultsMs = 4_000;
/** Time after a write within which each process that reaches the store must see the change. */
const dueMs = 2_000;
const stepMs = 20;
const noFaults: FeedFaults = { isStoreDown: () => false, isReachable: () => true };
const gateways = 3;
const watched = `g${gateways - 1}`;

/** Returns the longest time that a change remained unseen at one gateway, which can always reach the store. */
async function simulateSeed(seed: number): Promise<number> {
    const random = createRandom(seed);
    const { clock, state, put, viewOf } = createFeedFleet(gateways);
    const { config } = viewOf(watched);
    await clock.advance(3_000);
    let longestMs = 0;
    for (let round = 0; round < faultsPerSeed; round++) {
        const unreachable = new Set(["r1", "r2", "r3", "r4"].filter(() => random.nextUnit() < 0.4));
        const withoutStore = new Set(["r1", "r2", "r3", "r4"].filter(() => random.nextUnit() < 0.4));
        state.faults = {
            isStoreDown: process => withoutStore.has(process),
            isReachable: (from, to) => !unreachable.has(to) && !(unreachable.has(from) && to !== watched),
        };
        state.faultsSinceMs = clock.monotonicMs();
        await clock.advance(random.nextInt(maxFaultsMs));
        const writtenAtMs = await put();
        const seen = (): boolean => Number(config.objects()?.get("main")) >= writtenAtMs - 2 * stepMs;
        while (!seen() && clock.monotonicMs() - writtenAtMs < 2 * dueMs) {
            await clock.advance(stepMs);
        }
        longestMs = Math.max(longestMs, clock.monotonicMs() - writtenAtMs);
        state.faults = random.nextUnit() < 0.5 ? noFaults : state.faults;
        await clock.advance(random.nextInt(maxFaultsMs));
    }
    return longestMs;
}

test("a process that reaches the store sees each change in time when runners fail or lose the store", async () => {
    // Guards against a request that is handled by the old configuration seconds after the new one was acknowledged.
    const longest = await Promise.all(Array.from({ length: 40 }, (_, seed) => simulateSeed(seed + 1)));
    expect(longest.filter(ms => ms > dueMs)).toEqual([]);
});
