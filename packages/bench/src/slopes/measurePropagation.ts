import { createFleet } from "./createFleet.js";
import type { Fleet } from "./Fleet.js";
import type { FleetOptions } from "./FleetOptions.js";
import type { PropagationPoint } from "./PropagationPoint.js";

const warmUpMs = 30_000;
const limitMs = 60_000;
const resolutionMs = 50;
const slowRelayMs = 2_000;
const lossRatio = 0.1;

/** Simulated time until `done` returns true, in steps of 50 ms; undefined if not within the limit. */
async function timeUntil(fleet: Fleet, startedMs: number, done: () => boolean): Promise<number | undefined> {
    while (!done()) {
        if (fleet.clock.monotonicMs() - startedMs > limitMs) {
            return undefined;
        }
        await fleet.clock.advance(resolutionMs);
    }
    return fleet.clock.monotonicMs() - startedMs;
}

function applyCondition(fleet: Fleet, condition: PropagationPoint["condition"]): void {
    const [relay] = fleet.relays();
    if (condition === "deadRelay") {
        fleet.kill(relay!);
    }
    else if (condition === "slowRelay") {
        fleet.slow(relay!, slowRelayMs);
    }
}

/** Publishes one change to a settled fleet under a condition and measures the time until it is in effect. */
export async function measurePropagation(
    options: FleetOptions,
    condition: PropagationPoint["condition"],
): Promise<PropagationPoint> {
    const fleet = createFleet({ ...options, loss: condition === "loss" ? lossRatio : 0 });
    await fleet.publish();
    await fleet.clock.advance(warmUpMs);
    applyCondition(fleet, condition);
    const startedMs = fleet.clock.monotonicMs();
    const version = await fleet.publish();
    const entriesMs = await timeUntil(fleet, startedMs, () => fleet.behind(version).entries === 0);
    const everywhereMs = await timeUntil(fleet, startedMs, () => {
        const { entries, sidecars } = fleet.behind(version);
        return entries === 0 && sidecars === 0;
    });
    fleet.stop();
    return { entries: options.entries, samplers: options.samplers, condition, entriesMs, everywhereMs };
}
