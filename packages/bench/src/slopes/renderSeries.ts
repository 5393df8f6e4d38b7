import type { SlopesFigures } from "./SlopesFigures.js";

const ms = (value: number | undefined): string =>
    value === undefined ? "not within the limit" : `${Math.round(value)}`;

function renderSteady(figures: SlopesFigures): string[] {
    const { steady, scaled } = figures;
    const series = { ...steady, "entries with 10.25 samplers each": scaled };
    const rows = Object.entries(series).flatMap(([name, points]) =>
        points.map(point =>
            [
                name,
                point.entries,
                point.samplers,
                point.jobs,
                point.changesPerHour,
                Math.round(point.entryBytesPerSecond),
                point.entryCallsPerSecond.toFixed(2),
                Math.round(point.sidecarBytesPerSecond),
                point.sidecarCallsPerSecond.toFixed(2),
                (point.cpuUsPerSecond / point.entries / 1_000).toFixed(2),
                (point.heapBytes / 1e6).toFixed(1),
                point.suspicions,
            ].join(" | ")
        )
    );
    return [
        "| Doubled | Entries | Samplers | Jobs | Changes/h | Entry B/s | Entry calls/s | Sidecar B/s | Sidecar calls/s "
        + "| CPU ms/s per entry | Heap MB | False suspicions |",
        `|${" --- |".repeat(12)}`,
        ...rows.map(row => `| ${row} |`),
    ];
}

function renderTimes(figures: SlopesFigures): string[] {
    const spread = figures.spread.map(point =>
        `| ${point.entries} | ${point.samplers} | ${point.condition} | ${ms(point.entriesMs)} | ${
            point.samplers === 0 ? "-" : ms(point.everywhereMs)
        } |`
    );
    const detection = figures.detection.map(point =>
        `| ${point.entries} | ${ms(point.halfMs)} | ${ms(point.allMs)} | ${point.falseSuspicions} |`
    );
    const cut = figures.cut.map(point =>
        `| ${point.entries} | ${point.leastPeersDuringCut} | ${ms(point.mergedMs)} | ${ms(point.configMs)} |`
    );
    return [
        "| Entries | Samplers | Condition | All entries, ms | All sidecars too, ms |",
        "| --- | --- | --- | --- | --- |",
        ...spread,
        "",
        "| Entries | Half know of a death, ms | All know, ms | False suspicions |",
        "| --- | --- | --- | --- |",
        ...detection,
        "",
        "| Entries | Least peers trusted during the cut | All trusted again, ms | Change in force after the cut, ms |",
        "| --- | --- | --- | --- |",
        ...cut,
    ];
}

function renderCosts(figures: SlopesFigures): string[] {
    const change = figures.change.map(point =>
        `| ${point.samplers} | ${point.manifestBytes} | ${point.transferBytes} | ${point.takeCpuUs} | ${point.makeCpuUs} | ${
            (point.heapBytes / 1e6).toFixed(2)
        } |`
    );
    const leases = figures.leases.map(point =>
        `| ${point.leases} | ${point.writesPerSecond.toFixed(2)} | ${point.readsPerSecond.toFixed(2)} |`
    );
    return [
        "| Samplers in the manifest | Manifest bytes | Bytes of a change | Taking it, CPU us | Making it, CPU us | Heap MB |",
        "| --- | --- | --- | --- | --- | --- |",
        ...change,
        "",
        "| Leases held | Writes/s | Reads/s |",
        "| --- | --- | --- |",
        ...leases,
    ];
}

/** Renders all measured points as Markdown tables. */
export function renderSeries(figures: SlopesFigures): string {
    return [...renderSteady(figures), "", ...renderTimes(figures), "", ...renderCosts(figures)].join("\n");
}
