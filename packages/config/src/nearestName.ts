const maxDistanceShare = 0.5;

function editDistance(a: string, b: string): number {
    let previous = Array.from({ length: b.length + 1 }, (_, column) => column);
    for (let row = 1; row <= a.length; row++) {
        const current = [row];
        for (let column = 1; column <= b.length; column++) {
            const substitution = previous[column - 1]! + (a[row - 1] === b[column - 1] ? 0 : 1);
            current.push(Math.min(substitution, previous[column]! + 1, current[column - 1]! + 1));
        }
        previous = current;
    }
    return previous[b.length]!;
}

/** Returns the valid name with the smallest case-insensitive edit distance to `given`; undefined if none is close. */
export function nearestName(given: string, validNames: readonly string[]): string | undefined {
    // Longer input is not a misspelled name, and computing its edit distance takes quadratic time.
    if (given.length > 128) {
        return undefined;
    }
    let nearest: string | undefined;
    let leastDistance = Infinity;
    for (const name of validNames) {
        const distance = editDistance(given.toLowerCase(), name.toLowerCase());
        if (distance < leastDistance && distance <= Math.max(1, name.length * maxDistanceShare)) {
            leastDistance = distance;
            nearest = name;
        }
    }
    return nearest;
}
