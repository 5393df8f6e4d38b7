const seedPattern = /^(\d+)(?:-(\d+))?$/;

/**
 * Parses seeds such as `7`, `1-10` or `1,3,101-110`.
 * @throws Error that names the part that is invalid.
 */
export function parseSeeds(text: string): number[] {
    return text.split(",").flatMap(part => {
        const found = seedPattern.exec(part.trim()) ?? undefined;
        if (found === undefined) {
            throw new Error(`"${part}" is no seed and no range of seeds such as 1-10.`);
        }
        const from = Number(found[1]);
        const to = Number(found[2] ?? found[1]);
        return Array.from({ length: Math.max(0, to - from + 1) }, (_, index) => from + index);
    });
}
