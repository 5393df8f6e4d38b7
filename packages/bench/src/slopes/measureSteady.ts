import { collectGarbage } from "./collectGarbage.js";
import { createFleet } from "./createFleet.js";
import type { Fleet } from "./Fleet.js";
import type { FleetOptions } from "./FleetOptions.js";
import type { SteadyPoint } from "./SteadyPoint.js";

const minWarmUpMs = 30_000;
/** The membership needs this time per entry to propagate the starts of all entries. */
const warmUpMsPerEntry = 400;
const measuredMs = 20_000;
const msPerHour = 3_600_000;
const seconds = measuredMs / 1_000;

const countCalls = (fleet: Fleet): number => {
    const { throttled, ...calls } = fleet.store.calls();
    return Object.values(calls).reduce((sum, count) => sum + count, 0) + throttled;
};

async function advance(fleet: Fleet, changesPerHour: number): Promise<void> {
    if (changesPerHour === 0) {
        await fleet.clock.advance(measuredMs);
        return;
    }
    const changes = Math.round(changesPerHour * measuredMs / msPerHour);
    for (let change = 0; change < changes; change++) {
        await fleet.publish();
        await fleet.clock.advance(measuredMs / changes);
    }
}

/** Measures a fleet after it has settled: each entry knows all others, and the first manifest is in effect. */
export async function measureSteady(options: FleetOptions, changesPerHour: number): Promise<SteadyPoint> {
    const fleet = createFleet(options);
    await fleet.publish();
    await fleet.clock.advance(minWarmUpMs + options.entries * warmUpMsPerEntry);
    const storeBefore = countCalls(fleet);
    const suspicionsBefore = fleet.suspicions();
    fleet.resetCounts();
    const cpuBefore = process.cpuUsage();
    await advance(fleet, changesPerHour);
    const cpu = process.cpuUsage(cpuBefore);
    const { entry, sidecar } = fleet.counts;
    collectGarbage();
    const perEntry = options.entries * seconds;
    const perSidecar = Math.max(1, options.samplers) * seconds;
    const point: SteadyPoint = {
        entries: options.entries,
        samplers: options.samplers,
        jobs: options.jobs,
        changesPerHour,
        entryBytesPerSecond: entry.bytes / perEntry,
        entryCallsPerSecond: entry.calls / perEntry,
        sidecarBytesPerSecond: sidecar.bytes / perSidecar,
        sidecarCallsPerSecond: sidecar.calls / perSidecar,
        cpuUsPerSecond: (cpu.user + cpu.system) / seconds,
        heapBytes: process.memoryUsage().heapUsed,
        storeCallsPerSecond: (countCalls(fleet) - storeBefore) / seconds,
        suspicions: fleet.suspicions() - suspicionsBefore,
    };
    fleet.stop();
    return point;
}
