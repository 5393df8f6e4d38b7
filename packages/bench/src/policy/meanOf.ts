/** Arithmetic mean; 0 if there are no values. */
export function meanOf(values: number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}
