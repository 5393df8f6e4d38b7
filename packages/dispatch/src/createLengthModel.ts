/** Expected sample lengths of one job. */
interface LengthModel {
    observe(group: string, tokens: number): void;
    /** Tokens still expected of a sample of `group` that has `produced` tokens already. */
    expectRemaining(group: string, produced: number, maxTokens: number): number;
}

const historySize = 512;
const groupsKept = 4_096;
/** Weight of the job's mean against the members of the group seen so far. */
const priorWeight = 2;

const meanOf = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * Predicts lengths from the job's last 512 samples. A fresh sample is expected to have its group's mean, shrunk
 * towards the job's mean while few members are known. One that has outgrown that is expected to have the mean
 * excess of the earlier samples that grew as long, which for heavy tails rises with the length reached.
 */
export function createLengthModel(): LengthModel {
    const history: number[] = [];
    const groups = new Map<string, { sum: number; count: number; }>();
    let next = 0;

    function observe(group: string, tokens: number): void {
        history[next] = tokens;
        next = (next + 1) % historySize;
        const known = groups.get(group);
        if (known === undefined) {
            groups.set(group, { sum: tokens, count: 1 });
            if (groups.size > groupsKept) {
                groups.delete(groups.keys().next().value!);
            }
        }
        else {
            known.sum += tokens;
            known.count++;
        }
    }

    function expectTotal(group: string, maxTokens: number): number {
        if (history.length === 0) {
            return maxTokens / 2;
        }
        const jobMean = meanOf(history);
        const known = groups.get(group) ?? { sum: 0, count: 0 };
        return (known.sum + priorWeight * jobMean) / (known.count + priorWeight);
    }

    function meanExcess(produced: number, maxTokens: number): number {
        const longer = history.filter(tokens => tokens > produced);
        return longer.length === 0 ? (maxTokens - produced) / 2 : meanOf(longer) - produced;
    }

    return {
        observe,
        expectRemaining: (group, produced, maxTokens) => {
            const fresh = expectTotal(group, maxTokens);
            const remaining = produced === 0
                ? fresh
                : Math.max(fresh - produced, meanExcess(produced, maxTokens));
            return Math.max(1, Math.min(remaining, maxTokens - produced));
        },
    };
}
