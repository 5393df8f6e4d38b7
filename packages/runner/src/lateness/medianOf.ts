/** Median of some numbers; undefined for none. */
export function medianOf(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((a, b) => a - b);
    const middle = Math.floor(sorted.length / 2);
    return sorted.length % 2 === 1 || sorted.length === 0
        ? sorted[middle]
        : (sorted[middle - 1]! + sorted[middle]!) / 2;
}
