import type { CapacityRow } from "./CapacityRow.js";

const digits = (value: number): string => value >= 100 ? value.toFixed(0) : value.toPrecision(3);

/** Renders the capacity table of docs/CAPACITY.md in Markdown. */
export function renderCapacity(rows: CapacityRow[]): string {
    const lines = rows.map(row => {
        const mark = row.extrapolated ? " (extrapolated)" : "";
        const used = `${Math.round(row.projected / row.budget * 100)} %`;
        const projected = `${digits(row.projected)} ${row.unit}${mark}`;
        const budget = `${digits(row.budget)} ${row.unit}`;
        return `| ${row.role} | ${row.quantity} | ${row.measured} | ${projected} | ${budget} | ${used} |`;
    });
    return [
        "| Role | Quantity | Measured up to | At the target | Budget | Used |",
        "| --- | --- | --- | --- | --- | --- |",
        ...lines,
    ].join("\n");
}
