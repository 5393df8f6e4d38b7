import { expect, test } from "vitest";
import { createFleet } from "./createFleet.js";
import { measureDetection } from "./measureDetection.js";
import { measurePropagation } from "./measurePropagation.js";

const options = {
    entries: 12,
    samplers: 24,
    jobs: 3,
    regions: 2,
    domains: 6,
    loss: 0,
    seed: 7,
    envelopeBytes: 400,
};

test("a small fleet settles, takes a manifest everywhere and stays within the budget of bytes", async () => {
    const fleet = createFleet(options);
    const version = await fleet.publish();
    await fleet.clock.advance(60_000);
    expect(fleet.behind(version)).toEqual({ entries: 0, sidecars: 0 });
    expect(fleet.peersKnown()).toEqual({ least: 11, most: 11 });
    expect(fleet.relays()).toHaveLength(4);
    fleet.resetCounts();
    await fleet.clock.advance(20_000);
    expect(fleet.counts.entry.bytes / 12 / 20).toBeLessThan(6_000);
    expect(fleet.suspicions()).toBe(0);
    fleet.stop();
});

test("a change is in force everywhere within 14 s with messages lost and with a relay dead or slow", async () => {
    for (const condition of ["clean", "loss", "deadRelay", "slowRelay"] as const) {
        const { everywhereMs } = await measurePropagation(options, condition);
        expect(everywhereMs).toBeLessThan(14_000);
    }
});

test("the death of an entry is known to all, and nobody else is suspected", async () => {
    const { allMs, falseSuspicions } = await measureDetection({ ...options, samplers: 0 });
    expect(allMs).toBeLessThan(30_000);
    expect(falseSuspicions).toBe(0);
});
