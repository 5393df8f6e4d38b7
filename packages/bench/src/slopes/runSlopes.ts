import type { FleetOptions } from "./FleetOptions.js";
import { measureCall } from "./measureCall.js";
import { measureChange } from "./measureChange.js";
import { measureDetection } from "./measureDetection.js";
import { measureLeases } from "./measureLeases.js";
import { measurePropagation } from "./measurePropagation.js";
import { measureRegionPartition } from "./measureRegionPartition.js";
import { measureSteady } from "./measureSteady.js";
import type { PropagationPoint } from "./PropagationPoint.js";
import type { SlopesFigures } from "./SlopesFigures.js";

/** No measurement is started after this time, so that a run ends within five minutes. */
const startLimitMs = 235_000;
const samplersPerEntry = 10.25;
/** Larger fleets get fewer samplers, since validating the manifest in each sidecar would take up the whole run. */
const maxFullSpreadEntries = 32;
const largeSpreadSamplersPerEntry = 4;

const entryCounts = [4, 8, 16, 32, 64, 128];
const samplerCounts = [32, 64, 128, 256, 512, 1_024];
const jobCounts = [4, 8, 16, 32, 64, 128];
const changeRates = [0, 180, 360, 720, 1_440, 2_880];
const scaledCounts = [2, 4, 8, 16, 32, 64, 128];
const spreadCounts = [4, 8, 16, 32, 64, 128];
const detectionCounts = [4, 8, 16, 32, 64, 128];
const cutCounts = [12, 48];
const changeSizes = [128, 256, 512, 1_024, 2_048, 4_096];
const leaseCounts = [4, 8, 16, 32, 64, 128];
const conditions: PropagationPoint["condition"][] = ["clean", "loss", "deadRelay", "slowRelay"];

/** Measures all series, small sizes first, and reports each point to `onPoint`. */
export async function runSlopes(seed: number, onPoint: (label: string) => void): Promise<SlopesFigures> {
    const startedMs = performance.now();
    const skipped: string[] = [];
    const call = await measureCall();
    const baseRssBytes = process.memoryUsage().rss;

    const optionsOf = (entries: number, samplers: number, jobs: number): FleetOptions => ({
        entries,
        samplers,
        jobs,
        regions: 2,
        domains: 6,
        loss: 0,
        seed,
        envelopeBytes: call.envelopeBytes,
    });

    async function series<X, Y>(name: string, points: X[], measure: (point: X) => Promise<Y>): Promise<Y[]> {
        const measured: Y[] = [];
        for (const point of points) {
            const label = `${name} ${JSON.stringify(point)}`;
            if (performance.now() - startedMs > startLimitMs) {
                skipped.push(label);
                continue;
            }
            measured.push(await measure(point));
            onPoint(`${label} ${Math.round((performance.now() - startedMs) / 1_000)} s`);
        }
        return measured;
    }

    const leases = await series("leases", leaseCounts, measureLeases);
    const change = await series("change", changeSizes, size => Promise.resolve(measureChange(size)));
    const detection = await series(
        "detection",
        detectionCounts,
        count => measureDetection(optionsOf(count, 0, 10)),
    );
    const cut = await series("cut", cutCounts, count => measureRegionPartition(optionsOf(count, 0, 10)));
    const spreadPoints = spreadCounts.flatMap(count => conditions.map(condition => ({ count, condition })));
    const spread = await series("spread", spreadPoints, ({ count, condition }) => {
        // Sidecars receive a change in the answers to their reports, regardless of the state of the relays.
        const ratio = count <= maxFullSpreadEntries ? samplersPerEntry : largeSpreadSamplersPerEntry;
        const samplers = condition === "clean" ? Math.round(count * ratio) : 0;
        return measurePropagation(optionsOf(count, samplers, 10), condition);
    });
    const scaled = await series(
        "scaled",
        scaledCounts,
        count => measureSteady(optionsOf(count, Math.round(count * samplersPerEntry), 10), 0),
    );
    const steady = {
        entries: await series("entries", entryCounts, count => measureSteady(optionsOf(count, 64, 10), 0)),
        samplers: await series(
            "samplers",
            samplerCounts,
            count => measureSteady(optionsOf(16, count, 10), 0),
        ),
        jobs: await series("jobs", jobCounts, count => measureSteady(optionsOf(16, 64, count), 0)),
        changes: await series("changes", changeRates, rate => measureSteady(optionsOf(16, 164, 10), rate)),
    };
    const elapsedMs = Math.round(performance.now() - startedMs);
    return { baseRssBytes, call, steady, scaled, spread, detection, cut, leases, change, skipped, elapsedMs };
}
