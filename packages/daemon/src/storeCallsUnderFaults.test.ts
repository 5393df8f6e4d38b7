import { expect, test } from "vitest";
import { createFeedFleet } from "./testing/createFeedFleet.js";
import type { FeedFaults } from "./testing/FeedFaults.js";

const gateways = 40;
const noFaults: FeedFaults = { isStoreDown: () => false, isReachable: () => true };

/** Counts calls, except probes, during three seconds without faults, `faultsMs` with faults, and ten seconds after. */
async function countCalls(
    faults: FeedFaults,
    faultsMs: number,
): Promise<{ startCalls: number; calls: number; }> {
    const { clock, state, put } = createFeedFleet(gateways);
    await clock.advance(10_000);
    const startCalls = state.calls;
    await put();
    state.calls = 0;
    await clock.advance(3_000);
    state.faults = faults;
    state.faultsSinceMs = clock.monotonicMs();
    await clock.advance(faultsMs);
    state.faults = noFaults;
    await put();
    await clock.advance(10_000);
    return { startCalls, calls: state.calls };
}

const isFirstHalf = (process: string): boolean => Number(process.slice(1)) % 2 === 0;

const faultCases: Record<string, FeedFaults> = {
    "the runner that feeds is gone": { ...noFaults, isReachable: (from, to) => from !== "r1" && to !== "r1" },
    "the store turns the runner that feeds away": { ...noFaults, isStoreDown: process => process === "r1" },
    "the store is silent for all": { ...noFaults, isStoreDown: () => true },
    "half of the gateways reach no runner": {
        ...noFaults,
        isReachable: from => from.startsWith("r") || !isFirstHalf(from),
    },
    "half of the gateways do not reach the runner that feeds": {
        ...noFaults,
        isReachable: (from, to) => from.startsWith("r") || to !== "r1" || !isFirstHalf(from),
    },
};

test("the number of calls to the store stays low when processes can't use the feeding runner", async () => {
    // Guards against calls that grow with the number of processes: faults made them three to four times as many.
    const counted: Record<string, number> = {};
    for (const [name, faults] of Object.entries(faultCases)) {
        const { startCalls, calls } = await countCalls(faults, 6_000);
        counted[name] = calls;
        counted.start = startCalls;
    }
    expect(counted).toMatchInlineSnapshot(`
      {
        "half of the gateways do not reach the runner that feeds": 29,
        "half of the gateways reach no runner": 257,
        "start": 150,
        "the runner that feeds is gone": 27,
        "the store is silent for all": 149,
        "the store turns the runner that feeds away": 26,
      }
    `);
});
