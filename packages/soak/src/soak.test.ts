import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { expect, test } from "vitest";
import { runSoak } from "./runSoak.js";

test("the programs keep all promises under the faults of a short run", async () => {
    const report = await runSoak(createSystemClock(), {
        seed: 1,
        lengthMs: 5_000,
        faults: 5,
        gateways: 2,
        runners: 2,
    });
    expect(report.breaches).toEqual([]);
    expect(report.steps).toBeGreaterThan(0);
});

test("samplers that leave during faults get nothing new once the processes are connected again", async () => {
    const report = await runSoak(createSystemClock(), {
        seed: 2,
        lengthMs: 5_000,
        faults: 5,
        gateways: 2,
        runners: 2,
        calmMs: 6_000,
        hasDepartures: true,
    });
    expect(report.breaches).toEqual([]);
    expect(report.faults.filter(({ fault }) => fault.kind === "leaveSampler").length).toBe(2);
});
