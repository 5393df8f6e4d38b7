import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { capacityTarget } from "./capacityTarget.js";
import { fitLine } from "./fitLine.js";
import { projectCapacity } from "./projectCapacity.js";
import { renderCapacity } from "./renderCapacity.js";
import { renderSeries } from "./renderSeries.js";
import type { SlopesFigures } from "./SlopesFigures.js";

const readFile = (path: string): string =>
    readFileSync(new URL(`../../../../${path}`, import.meta.url), "utf8");
const figures = JSON.parse(readFile("packages/bench/figures/slopes.json")) as SlopesFigures;
const page = readFile("docs/CAPACITY.md");

test("the tables of docs/CAPACITY.md match the committed figures", () => {
    expect(page).toContain(renderCapacity(projectCapacity(figures, capacityTarget)));
    expect(page).toContain(renderSeries(figures));
});

test("docs/CAPACITY.md lists all skipped points", () => {
    for (const label of figures.skipped) {
        expect(page).toContain(label);
    }
});

test("each series doubles its quantity at least five times", () => {
    const { steady, scaled, detection, leases, change } = figures;
    const xs = [
        steady.entries.map(point => point.entries),
        steady.samplers.map(point => point.samplers),
        steady.jobs.map(point => point.jobs),
        scaled.map(point => point.entries),
        detection.map(point => point.entries),
        leases.map(point => point.leases),
        change.map(point => point.samplers),
    ];
    for (const x of xs) {
        expect(Math.max(...x) / Math.min(...x)).toBeGreaterThanOrEqual(32);
    }
});

test("a line is fitted exactly to collinear points", () => {
    const { slope, intercept, r2 } = fitLine([[1, 5], [2, 7], [4, 11]]);
    expect([slope, intercept, r2].map(value => Number(value.toFixed(9)))).toEqual([2, 3, 1]);
});
