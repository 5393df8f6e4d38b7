/**
 * Merges reports of counters that only grow; of two counters with the same key, the larger one is kept. Repeated, late
 * and out-of-order reports therefore change nothing. Adding them up instead would charge a team twice for one report.
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
