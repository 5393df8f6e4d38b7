import type { CapacityRow } from "./CapacityRow.js";
import { fitLine } from "./fitLine.js";
import type { PropagationPoint } from "./PropagationPoint.js";
import type { SlopesFigures } from "./SlopesFigures.js";
import type { SteadyPoint } from "./SteadyPoint.js";
import type { Target } from "./Target.js";

const secondsPerDay = 86_400;
const secondsPerHour = 3_600;
const usPerSecond = 1_000_000;
const pushFanOut = 3;
const relaysPerRegion = 2;
/** Higher change rates are bursts, in which changes are no longer transferred as deltas. */
const maxFittedChangesPerHour = 720;
/** Smaller fleets have fewer reports per entry and different messages than large ones. */
const minFittedEntries = 16;

const large = (points: SteadyPoint[]): SteadyPoint[] =>
    points.filter(point => point.entries >= minFittedEntries);

const last = <T>(points: T[]): T => points[points.length - 1]!;

/** Value at `x` of the line fitted to the points. */
function at(points: [number, number][], x: number): number {
    const { slope, intercept } = fitLine(points);
    return intercept + slope * x;
}

/** Increase of `read` per change per second. */
function perChange(points: SteadyPoint[], read: (point: SteadyPoint) => number): number {
    const fitted = points.filter(point => point.changesPerHour <= maxFittedChangesPerHour);
    return fitLine(fitted.map(point => [point.changesPerHour / secondsPerHour, read(point)])).slope;
}

function entryPropagationMs(
    figures: SlopesFigures,
    condition: PropagationPoint["condition"],
    entries: number,
): number {
    const points = figures.spread.filter(point =>
        point.condition === condition && point.entriesMs !== undefined
    );
    return at(points.map(point => [Math.log2(point.entries), point.entriesMs!]), Math.log2(entries));
}

/** Longest time until a sidecar receives a document that all entries have. */
function sidecarWaitMs(figures: SlopesFigures): number {
    const waits = figures.spread
        .filter(point => point.condition === "clean")
        .map(point => (point.everywhereMs ?? Infinity) - (point.entriesMs ?? 0));
    return Math.max(...waits);
}

/** Rows for the bytes and the processor time of control, for which every process has a budget. */
function controlRows(
    common: Pick<CapacityRow, "role" | "measured" | "extrapolated">,
    bytes: number,
    cpuUs: number,
    target: Target,
): CapacityRow[] {
    return [
        {
            ...common,
            quantity: "bytes for control, sent and received",
            projected: bytes,
            budget: target.budget.bytesPerSecond,
            unit: "B/s",
        },
        {
            ...common,
            quantity: "processor for control",
            projected: cpuUs / usPerSecond * 100,
            budget: target.budget.coreRatio * 100,
            unit: "% of a core",
        },
    ];
}

function entryRows(figures: SlopesFigures, target: Target): CapacityRow[] {
    const { steady, call, change, baseRssBytes } = figures;
    const scaled = large(figures.scaled);
    const changesPerSecond = target.changesPerDay / secondsPerDay;
    const largest = last(scaled);
    const measured = `${largest.entries} entries, ${largest.samplers} samplers`;
    const bytes = at(scaled.map(point => [point.entries, point.entryBytesPerSecond]), target.entries)
        + changesPerSecond * perChange(steady.changes, point => point.entryBytesPerSecond);
    const logicUs = at(
        scaled.map(point => [point.entries, point.cpuUsPerSecond / point.entries]),
        target.entries,
    );
    const reportsPerSecond = largest.sidecarCallsPerSecond * target.samplers / target.entries;
    const callSides = 2 * largest.entryCallsPerSecond + reportsPerSecond;
    const { takeCpuUs, makeCpuUs, heapBytes } = last(change);
    const changeUs = changesPerSecond * (takeCpuUs + pushFanOut * makeCpuUs);
    const cpuUs = logicUs + callSides * call.cpuUs / 2 + changeUs;
    const heap = fitLine(scaled.map(point => [point.entries, point.heapBytes])).slope;
    const common = { role: "entry", measured, extrapolated: true };
    return [
        ...controlRows(common, bytes, cpuUs, target),
        {
            ...common,
            quantity: "memory, base and control state",
            projected: (baseRssBytes + heap + heapBytes) / 1e6,
            budget: target.budget.memoryBytes / 1e6,
            unit: "MB",
        },
    ];
}

function sidecarRows(figures: SlopesFigures, target: Target): CapacityRow[] {
    const { steady, call, change, baseRssBytes } = figures;
    const scaled = large(figures.scaled);
    const changesPerSecond = target.changesPerDay / secondsPerDay;
    const largest = last(scaled);
    const measured = `${largest.entries} entries, ${largest.samplers} samplers`;
    const { takeCpuUs, heapBytes } = last(change);
    const bytes = at(scaled.map(point => [point.entries, point.sidecarBytesPerSecond]), target.entries)
        + changesPerSecond * perChange(steady.changes, point => point.sidecarBytesPerSecond);
    const cpuUs = largest.sidecarCallsPerSecond * call.cpuUs / 2 + changesPerSecond * takeCpuUs;
    const common = { role: "sidecar", measured, extrapolated: true };
    return [
        ...controlRows(common, bytes, cpuUs, target),
        {
            ...common,
            quantity: "memory, base and documents",
            projected: (baseRssBytes + heapBytes) / 1e6,
            budget: target.budget.memoryBytes / 1e6,
            unit: "MB",
        },
    ];
}

function storeRows(figures: SlopesFigures, target: Target): CapacityRow[] {
    const { leases, steady } = figures;
    const largest = last(leases);
    const held = target.jobs + target.keyRanges;
    const writes = at(leases.map(point => [point.leases, point.writesPerSecond]), held)
        + target.changesPerDay / secondsPerDay;
    const perRelay = last(steady.entries).storeCallsPerSecond / (2 * relaysPerRegion);
    const calls = perRelay * relaysPerRegion * target.regions
        + target.changesPerDay / secondsPerDay
            * perChange(steady.changes, point => point.storeCallsPerSecond);
    return [
        {
            role: "all entries",
            quantity: "writes of leases and manifests at the object API",
            measured: `${largest.leases} leases`,
            projected: writes,
            budget: target.storeWritesPerSecond * target.storeShare,
            unit: "/s",
            extrapolated: false,
        },
        {
            role: "relays",
            quantity: "watches and lists at the object API",
            measured: `${last(steady.entries).entries} entries`,
            projected: calls,
            budget: target.storeReadsPerSecond * target.storeShare,
            unit: "/s",
            extrapolated: true,
        },
    ];
}

function timeRows(figures: SlopesFigures, target: Target): CapacityRow[] {
    const waitMs = sidecarWaitMs(figures);
    const rowOf = (condition: PropagationPoint["condition"], conditionText: string): CapacityRow => {
        const points = figures.spread.filter(point => point.condition === condition);
        return {
            role: "all",
            quantity: `change in force everywhere, ${conditionText}`,
            measured: `${last(points).entries} entries`,
            projected: (entryPropagationMs(figures, condition, target.entries) + waitMs) / 1_000,
            budget: target.configMs / 1_000,
            unit: "s",
            extrapolated: true,
        };
    };
    return [
        rowOf("clean", "nothing amiss"),
        rowOf("loss", "a tenth of the messages lost"),
        rowOf("deadRelay", "a relay dead"),
        rowOf("slowRelay", "a relay 2 s slow"),
    ];
}

/** Projects the measured slopes to the target size. */
export function projectCapacity(figures: SlopesFigures, target: Target): CapacityRow[] {
    return [
        ...entryRows(figures, target),
        ...sidecarRows(figures, target),
        ...storeRows(figures, target),
        ...timeRows(figures, target),
    ];
}
