/** One labelled line of a plot. */
interface PlotLine {
    name: string;
    points: [number, number][];
}

const widthPx = 640;
const heightPx = 400;
const marginPx = 60;
const legendStepPx = 18;
const colours = ["#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910"];

/** Renders lines as SVG with logarithmic axes, so that proportional growth is a straight line of slope 1. */
export function renderPlot(title: string, xLabel: string, yLabel: string, lines: PlotLine[]): string {
    const points = lines.flatMap(line => line.points).filter(([x, y]) => x > 0 && y > 0);
    const logs = (axis: 0 | 1): [number, number] => {
        const values = points.map(point => Math.log2(point[axis]));
        return [Math.floor(Math.min(...values)), Math.ceil(Math.max(...values))];
    };
    const [left, right] = logs(0);
    const [low, high] = logs(1);
    const toX = (x: number): number =>
        marginPx + (Math.log2(x) - left) / Math.max(1, right - left) * (widthPx - 2 * marginPx);
    const toY = (y: number): number =>
        heightPx - marginPx - (Math.log2(y) - low) / Math.max(1, high - low) * (heightPx - 2 * marginPx);
    const text = (x: number, y: number, content: string, more = ""): string =>
        `<text x="${x.toFixed(1)}" y="${
            y.toFixed(1)
        }" font-family="sans-serif" font-size="12"${more}>${content}</text>`;
    const ticksX = Array.from({ length: right - left + 1 }, (_, at) => 2 ** (left + at)).map(value =>
        text(toX(value), heightPx - marginPx + 18, String(value), ` text-anchor="middle"`)
    );
    const ticksY = Array.from({ length: high - low + 1 }, (_, at) => 2 ** (low + at)).map(value =>
        text(marginPx - 6, toY(value) + 4, String(Number(value.toPrecision(3))), ` text-anchor="end"`)
    );
    const drawn = lines.map((line, at) => {
        const colour = colours[at % colours.length]!;
        const path = line.points
            .filter(([x, y]) => x > 0 && y > 0)
            .map(([x, y]) => `${toX(x).toFixed(1)},${toY(y).toFixed(1)}`)
            .join(" ");
        const legend = text(marginPx + 8, marginPx + at * legendStepPx, line.name, ` fill="${colour}"`);
        return `<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="2"/>${legend}`;
    });
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${widthPx}" height="${heightPx}">`,
        `<rect width="${widthPx}" height="${heightPx}" fill="white"/>`,
        text(widthPx / 2, 24, title, ` text-anchor="middle" font-weight="bold"`),
        text(widthPx / 2, heightPx - 12, xLabel, ` text-anchor="middle"`),
        text(12, 40, yLabel),
        ...ticksX,
        ...ticksY,
        ...drawn,
        "</svg>",
        "",
    ].join("\n");
}
