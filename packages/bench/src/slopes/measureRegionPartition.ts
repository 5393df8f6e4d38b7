import { createFleet } from "./createFleet.js";
import type { FleetOptions } from "./FleetOptions.js";
import type { RegionPartitionPoint } from "./RegionPartitionPoint.js";

const warmUpMs = 30_000;
const cutMs = 180_000;
const limitMs = 180_000;
const resolutionMs = 250;

/** Partitions two regions for three minutes, publishes a change meanwhile, then ends the partition. */
export async function measureRegionPartition(options: FleetOptions): Promise<RegionPartitionPoint> {
    const fleet = createFleet({ ...options, regions: 2 });
    await fleet.publish();
    await fleet.clock.advance(warmUpMs);
    fleet.cutRegions(true);
    await fleet.clock.advance(cutMs / 2);
    const version = await fleet.publish();
    await fleet.clock.advance(cutMs / 2);
    const leastPeersDuringCut = fleet.peersKnown().least;
    fleet.cutRegions(false);
    const startedMs = fleet.clock.monotonicMs();
    let mergedMs: number | undefined;
    let configMs: number | undefined;
    while (mergedMs === undefined && fleet.clock.monotonicMs() - startedMs < limitMs) {
        const elapsedMs = fleet.clock.monotonicMs() - startedMs;
        configMs ??= fleet.behind(version).entries === 0 ? elapsedMs : undefined;
        mergedMs = fleet.peersKnown().least === options.entries - 1 ? elapsedMs : undefined;
        await fleet.clock.advance(resolutionMs);
    }
    fleet.stop();
    return { entries: options.entries, cutMs, leastPeersDuringCut, mergedMs, configMs };
}
