import type { LengthModel } from "./LengthModel.js";

const historySize = 512;
/** Number of observations between two updates of the long length. */
const longTokensInterval = 32;
const maxPrompts = 8_192;
/** Weight of the job's mean, in samples, against the prompt's own samples. */
const priorWeight = 2;

/**
 * Creates a model that predicts lengths from the job's last 512 samples and from earlier samples of the same prompt,
 * in this step or in earlier epochs. The prompt's mean is shrunk towards the job's mean while few samples are known.
 * For a sample that exceeds the prediction, the remaining length is the mean excess of the earlier samples that were
 * longer than it is now; with heavy-tailed lengths it rises with the length reached.
 */
export function createPromptLengthModel(): LengthModel {
    const history: number[] = [];
    const prompts = new Map<string, { sum: number; count: number; }>();
    let nextIndex = 0;
    let historySum = 0;
    let longTokens = 0;
    let observedSinceUpdate = longTokensInterval;

    function recordHistory(tokens: number): void {
        observedSinceUpdate++;
        historySum += tokens - (history[nextIndex] ?? 0);
        history[nextIndex] = tokens;
        nextIndex = (nextIndex + 1) % historySize;
    }

    function recordPrompt(prompt: string, tokens: number): void {
        const known = prompts.get(prompt) ?? { sum: 0, count: 0 };
        known.sum += tokens;
        known.count++;
        prompts.delete(prompt);
        prompts.set(prompt, known);
        if (prompts.size > maxPrompts) {
            prompts.delete(prompts.keys().next().value!);
        }
    }

    function expectTotal(prompt: string, maxTokens: number): number {
        if (history.length === 0) {
            return maxTokens / 2;
        }
        const jobMean = historySum / history.length;
        const known = prompts.get(prompt) ?? { sum: 0, count: 0 };
        return (known.sum + priorWeight * jobMean) / (known.count + priorWeight);
    }

    function meanExcess(produced: number, maxTokens: number): number {
        let sum = 0;
        let count = 0;
        for (const tokens of history) {
            if (tokens > produced) {
                sum += tokens - produced;
                count++;
            }
        }
        return count === 0 ? (maxTokens - produced) / 2 : sum / count;
    }

    return {
        observe: (prompt, tokens) => {
            recordHistory(tokens);
            recordPrompt(prompt, tokens);
        },
        longTokens: maxTokens => {
            if (history.length < longTokensInterval) {
                return maxTokens;
            }
            if (observedSinceUpdate >= longTokensInterval) {
                observedSinceUpdate = 0;
                const sorted = [...history].sort((a, b) => b - a);
                longTokens = sorted[Math.floor(history.length / 100)]!;
            }
            return longTokens;
        },
        expectRemaining: (prompt, produced, maxTokens) => {
            const expectedTotal = expectTotal(prompt, maxTokens);
            const remaining = produced === 0
                ? expectedTotal
                : Math.max(expectedTotal - produced, meanExcess(produced, maxTokens));
            return Math.max(1, Math.min(remaining, maxTokens - produced));
        },
    };
}
