import type { LineFit } from "./LineFit.js";

const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Fits a line to points `[x, y]` by least squares; at least two points must differ in x. */
export function fitLine(points: [number, number][]): LineFit {
    const meanX = mean(points.map(([x]) => x));
    const meanY = mean(points.map(([, y]) => y));
    const sumXy = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const sumXx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const slope = sumXy / sumXx;
    const intercept = meanY - slope * meanX;
    const residual = points.reduce((sum, [x, y]) => sum + (y - intercept - slope * x) ** 2, 0);
    const total = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0);
    return { slope, intercept, r2: total === 0 ? 1 : 1 - residual / total };
}
