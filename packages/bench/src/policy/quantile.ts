/** The `part`-quantile by nearest rank; 0 if there are no values. */
export function quantile(values: number[], part: number): number {
    if (values.length === 0) {
        return 0;
    }
    const sorted = [...values].sort((a, b) => a - b);
    const rank = Math.min(sorted.length, Math.max(1, Math.ceil(part * sorted.length)));
    return sorted[rank - 1]!;
}
