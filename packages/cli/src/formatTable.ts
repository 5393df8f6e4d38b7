/** Aligns rows in columns under `headings`; numbers are right-aligned. */
export function formatTable(headings: string[], rows: (string | number)[][]): string[] {
    const widths = headings.map((heading, column) =>
        Math.max(heading.length, ...rows.map(row => String(row[column]).length))
    );
    const layOut = (row: (string | number)[]): string =>
        row
            .map((cell, column) =>
                typeof cell === "number"
                    ? String(cell).padStart(widths[column]!)
                    : cell.padEnd(widths[column]!)
            )
            .join("  ")
            .trimEnd();
    return [layOut(headings), ...rows.map(layOut)];
}
