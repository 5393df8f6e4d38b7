/**
 * Merges reports of counters that only grow, the larger of two of the same key. Repeated, late and disordered reports
 * change nothing: adding them up instead would charge a team twice for one report.
 */
export function mergeByMaximum<T>(
    keyOf: (counter: T) => string,
    maximum: (a: T, b: T) => T,
    ...reports: Iterable<T>[]
): T[] {
    const merged = new Map<string, T>();
    for (const report of reports) {
        for (const counter of report) {
            const key = keyOf(counter);
            const present = merged.get(key);
            merged.set(key, present === undefined ? { ...counter } : maximum(present, counter));
        }
    }
    return [...merged.values()];
}
