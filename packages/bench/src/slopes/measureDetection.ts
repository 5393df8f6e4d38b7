import { createFleet } from "./createFleet.js";
import type { DetectionPoint } from "./DetectionPoint.js";
import type { FleetOptions } from "./FleetOptions.js";

const warmMs = 40_000;
const limitMs = 120_000;
const resolutionMs = 100;

/** Kills one entry of a settled fleet and measures until the others trust it no more. */
export async function measureDetection(options: FleetOptions): Promise<DetectionPoint> {
    const fleet = createFleet(options);
    await fleet.publish();
    await fleet.clock.advance(warmMs);
    const falseSuspicions = fleet.suspicions();
    const [victim] = fleet.relays();
    fleet.kill(victim!);
    const startedMs = fleet.clock.monotonicMs();
    const others = options.entries - 1;
    let halfMs: number | undefined;
    let allMs: number | undefined;
    while (allMs === undefined && fleet.clock.monotonicMs() - startedMs < limitMs) {
        await fleet.clock.advance(resolutionMs);
        const elapsedMs = fleet.clock.monotonicMs() - startedMs;
        const knowers = fleet.knowers(victim!);
        halfMs ??= knowers <= others / 2 ? elapsedMs : undefined;
        allMs = knowers === 0 ? elapsedMs : undefined;
    }
    fleet.stop();
    return { entries: options.entries, halfMs, allMs, falseSuspicions };
}
