import type { PolicyMedians } from "./PolicyMedians.js";

interface Column {
    title: string;
    cell: (row: PolicyMedians) => string;
}

const seconds = (ms: number): string => (ms / 1_000).toFixed(1);
const percent = (ratio: number): string => (ratio * 100).toFixed(1);

const columns: Column[] = [
    { title: "policy", cell: row => row.policy },
    { title: "idle %", cell: row => percent(row.idleRatio) },
    { title: "stale v mean", cell: row => row.stalenessVersionsMean.toFixed(2) },
    { title: "p99", cell: row => row.stalenessVersionsP99.toFixed(0) },
    { title: "max", cell: row => row.stalenessVersionsMax.toFixed(0) },
    { title: "stale s mean", cell: row => seconds(row.stalenessMsMean) },
    { title: "p99", cell: row => seconds(row.stalenessMsP99) },
    { title: "max", cell: row => seconds(row.stalenessMsMax) },
    { title: "step s p50", cell: row => seconds(row.stepMsP50) },
    { title: "p99", cell: row => seconds(row.stepMsP99) },
    { title: "interactive ms p99", cell: row => row.interactiveMsP99.toFixed(0) },
    { title: "alone", cell: row => row.interactiveAloneMsP99.toFixed(0) },
    { title: "engine ms/sample", cell: row => row.engineMsPerSample.toFixed(0) },
    { title: "overhead %", cell: row => percent(row.overheadRatio) },
    { title: "share error %", cell: row => percent(row.shareError) },
    { title: "over bound", cell: row => String(row.overBound) },
    { title: "biased", cell: row => `${row.biasedRuns}/${row.runs}` },
    { title: "finished", cell: row => `${row.finishedRuns}/${row.runs}` },
];

/** Formats one line per policy and a last one with the bound. Columns are aligned for a terminal. */
export function formatTable(scenario: string, rows: PolicyMedians[]): string {
    const first = rows[0]!;
    const boundCells = columns.map(({ title }, index) => {
        const isStep = title.startsWith("step");
        const isStepP99 = index > 0 && columns[index - 1]!.title.startsWith("step");
        if (index === 0) {
            return "bound";
        }
        if (title === "idle %") {
            return percent(first.boundIdleRatio);
        }
        return isStep ? seconds(first.boundStepMsP50) : isStepP99 ? seconds(first.boundStepMsP99) : "";
    });
    const cells = [
        columns.map(column => column.title),
        ...rows.map(row => columns.map(column => column.cell(row))),
        boundCells,
    ];
    const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]!.length)));
    const lines = cells.map(line =>
        line.map((cell, index) => index === 0 ? cell.padEnd(widths[0]!) : cell.padStart(widths[index]!)).join(
            "  ",
        )
    );
    return [`scenario ${scenario}, medians of ${first.runs} seeds`, ...lines].join("\n");
}
