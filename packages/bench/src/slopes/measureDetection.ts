import { createFleet } from "./createFleet.js";
import type { DetectionPoint } from "./DetectionPoint.js";
import type { FleetOptions } from "./FleetOptions.js";

const warmUpMs = 40_000;
const limitMs = 120_000;
const resolutionMs = 100;

/** Kills one entry of a settled fleet and measures the time until the others no longer trust it. */
export async function measureDetection(options: FleetOptions): Promise<DetectionPoint> {
    const fleet = createFleet(options);
    await fleet.publish();
    await fleet.clock.advance(warmUpMs);
    const falseSuspicions = fleet.suspicions();
    const [removedAddress] = fleet.relays();
    fleet.kill(removedAddress!);
    const startedMs = fleet.clock.monotonicMs();
    const others = options.entries - 1;
    let halfMs: number | undefined;
    let allMs: number | undefined;
    while (allMs === undefined && fleet.clock.monotonicMs() - startedMs < limitMs) {
        await fleet.clock.advance(resolutionMs);
        const elapsedMs = fleet.clock.monotonicMs() - startedMs;
        const trusting = fleet.countEntriesTrusting(removedAddress!);
        halfMs ??= trusting <= others / 2 ? elapsedMs : undefined;
        allMs = trusting === 0 ? elapsedMs : undefined;
    }
    fleet.stop();
    return { entries: options.entries, halfMs, allMs, falseSuspicions };
}
