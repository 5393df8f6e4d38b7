/** Outcome of a two-sample Kolmogorov-Smirnov test. */
interface Comparison {
    /** Largest distance between the two distribution functions, from 0 to 1. */
    statistic: number;
    /** True if equal distributions would show such a distance in fewer than 1% of cases. */
    isDifferent: boolean;
}

/** Critical value of the test at 1%: √(−ln(0.01 ÷ 2) ÷ 2). */
const criticalAtOnePercent = 1.628;

/** Compares two samples without assumptions about their distribution. */
export function compareDistributions(a: number[], b: number[]): Comparison {
    if (a.length === 0 || b.length === 0) {
        return { statistic: a.length === b.length ? 0 : 1, isDifferent: a.length !== b.length };
    }
    const left = [...a].sort((x, y) => x - y);
    const right = [...b].sort((x, y) => x - y);
    let statistic = 0;
    let atLeft = 0;
    let atRight = 0;
    while (atLeft < left.length && atRight < right.length) {
        const value = Math.min(left[atLeft]!, right[atRight]!);
        while (atLeft < left.length && left[atLeft] === value) {
            atLeft++;
        }
        while (atRight < right.length && right[atRight] === value) {
            atRight++;
        }
        statistic = Math.max(statistic, Math.abs(atLeft / left.length - atRight / right.length));
    }
    const critical = criticalAtOnePercent
        * Math.sqrt((left.length + right.length) / (left.length * right.length));
    return { statistic, isDifferent: statistic > critical };
}
