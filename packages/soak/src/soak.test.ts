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

test("every process uses the store that its settings file names last, with a signal and without", async () => {
    const report = await runSoak(createSystemClock(), {
        seed: 15_252,
        lengthMs: 4_000,
        faults: 7,
        gateways: 2,
        runners: 2,
        hasSettingsChanges: true,
    });
    expect(report.breaches).toEqual([]);
    expect(report.faults.filter(({ fault }) => fault.kind === "changeSettings").length).toBe(3);
});

test.each([902, 907])("crash-inducing requests get few retries under the faults of seed %i", async seed => {
    // Guards against evidence of crashes that any process loses or counts twice, and against refused bystanders.
    const report = await runSoak(createSystemClock(), {
        seed,
        lengthMs: 15_000,
        faults: 10,
        gateways: 4,
        runners: 3,
        hasCrashInducing: true,
    });
    expect(report.breaches).toEqual([]);
});
