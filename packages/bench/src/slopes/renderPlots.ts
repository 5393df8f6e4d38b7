import type { PropagationPoint } from "./PropagationPoint.js";
import { renderPlot } from "./renderPlot.js";
import type { SlopesFigures } from "./SlopesFigures.js";

const conditions: PropagationPoint["condition"][] = ["clean", "loss", "deadRelay", "slowRelay"];

/** Renders the plots by file name. */
export function renderPlots(figures: SlopesFigures): Record<string, string> {
    const { steady, scaled, spread, detection } = figures;
    const rates = renderPlot("Control traffic", "doubled quantity", "bytes per second and process", [
        {
            name: "entry, against entries",
            points: steady.entries.map(p => [p.entries, p.entryBytesPerSecond]),
        },
        {
            name: "entry, against samplers",
            points: steady.samplers.map(p => [p.samplers, p.entryBytesPerSecond]),
        },
        { name: "entry, against jobs", points: steady.jobs.map(p => [p.jobs, p.entryBytesPerSecond]) },
        { name: "entry, both grown", points: scaled.map(p => [p.entries, p.entryBytesPerSecond]) },
        { name: "sidecar, both grown", points: scaled.map(p => [p.entries, p.sidecarBytesPerSecond]) },
    ]);
    const times = renderPlot("Time until every entry has a change", "entries", "ms", [
        ...conditions.map(condition => ({
            name: condition,
            points: spread
                .filter(point => point.condition === condition && point.entriesMs !== undefined)
                .map((point): [number, number] => [point.entries, point.entriesMs!]),
        })),
        {
            name: "death known to all",
            points: detection
                .filter(point => point.allMs !== undefined)
                .map((point): [number, number] => [point.entries, point.allMs!]),
        },
    ]);
    const cpu = renderPlot("Processor time", "doubled quantity", "us per second, whole simulation", [
        { name: "against entries", points: steady.entries.map(p => [p.entries, p.cpuUsPerSecond]) },
        { name: "against samplers", points: steady.samplers.map(p => [p.samplers, p.cpuUsPerSecond]) },
        { name: "both grown", points: scaled.map(p => [p.entries, p.cpuUsPerSecond]) },
    ]);
    return { "slopes-bytes.svg": rates, "slopes-times.svg": times, "slopes-cpu.svg": cpu };
}
