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

test("a small fleet settles, applies a manifest everywhere and stays within its byte budget", async () => {
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

test("a change is in effect everywhere within 14 s, also with lost messages or a crashed or slow relay", async () => {
    for (const condition of ["clean", "loss", "deadRelay", "slowRelay"] as const) {
        const { everywhereMs } = await measurePropagation(options, condition);
        expect(everywhereMs).toBeLessThan(14_000);
    }
});

test("all entries detect the failure of an entry and suspect no other", async () => {
    const { allMs, falseSuspicions } = await measureDetection({ ...options, samplers: 0 });
    expect(allMs).toBeLessThan(30_000);
    expect(falseSuspicions).toBe(0);
});
