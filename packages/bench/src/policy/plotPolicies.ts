import type { PolicyMedians } from "./PolicyMedians.js";

interface Panel {
    title: string;
    value: (row: PolicyMedians) => number;
    bound: ((row: PolicyMedians) => number) | undefined;
    label: (value: number) => string;
}

const panels: Panel[] = [
    {
        title: "trainer idle ratio",
        value: row => row.idleRatio,
        bound: row => row.boundIdleRatio,
        label: value => value.toFixed(3),
    },
    {
        title: "mean staleness (versions)",
        value: row => row.stalenessVersionsMean,
        bound: undefined,
        label: value => value.toFixed(2),
    },
    {
        title: "step completion p99 (s)",
        value: row => row.stepMsP99 / 1_000,
        bound: row => row.boundStepMsP99 / 1_000,
        label: value => value.toFixed(1),
    },
];

const panelWidth = 330;
const barHeight = 20;
const labelWidth = 120;
const valueWidth = 50;
const headHeight = 56;
const barColour = "#7f9cb8";
const ownColour = "#2f6f4f";
const boundColour = "#b03a2e";

const escape = (text: string): string => text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");

function drawText(x: number, y: number, text: string, anchor = "start"): string {
    return `<text x="${x}" y="${y}" text-anchor="${anchor}">${escape(text)}</text>`;
}

function drawPanel(panel: Panel, rows: PolicyMedians[], left: number): string {
    const bound = panel.bound?.(rows[0]!);
    const maxValue = Math.max(1e-9, bound ?? 0, ...rows.map(panel.value));
    const barSpace = panelWidth - labelWidth - valueWidth;
    const scale = (value: number): number => Math.round(value / maxValue * barSpace * 10) / 10;
    const barLeft = left + labelWidth;
    const bars = rows.map((row, index) => {
        const top = headHeight + index * barHeight;
        const width = scale(panel.value(row));
        const colour = row.policy.startsWith("ours") ? ownColour : barColour;
        return drawText(barLeft - 6, top + 13, row.policy, "end")
            + `<rect x="${barLeft}" y="${top}" width="${width}" height="${barHeight - 4}" fill="${colour}"/>`
            + drawText(barLeft + width + 4, top + 13, panel.label(panel.value(row)));
    });
    const boundX = barLeft + scale(bound ?? 0);
    const bottom = headHeight + rows.length * barHeight;
    const line = bound === undefined
        ? ""
        : `<line x1="${boundX}" y1="${
            headHeight - 6
        }" x2="${boundX}" y2="${bottom}" stroke="${boundColour}"/>`;
    return [drawText(left + 4, 40, panel.title), ...bars, line].join("\n");
}

/** Renders the three main measures as bars by policy in SVG; the bound is a red line. */
export function plotPolicies(scenario: string, rows: PolicyMedians[]): string {
    const width = panels.length * panelWidth;
    const height = headHeight + rows.length * barHeight + 12;
    const head = `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" `
        + `font-family="sans-serif" font-size="12">`;
    const title = drawText(4, 18, `${scenario}: medians of ${rows[0]!.runs} seeds, red line: bound`);
    const drawn = panels.map((panel, index) => drawPanel(panel, rows, index * panelWidth));
    const background = `<rect width="${width}" height="${height}" fill="white"/>`;
    return [head, background, title, ...drawn, "</svg>", ""].join("\n");
}
