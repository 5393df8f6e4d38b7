import type { Sample } from "@auburnarch/types/Sample";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";

/** Records which weights actually generated each token of each attempt. */
interface TokenRecord {
    recordAttempt(attempt: SampleAttempt): void;
    /** Starts an attempt that resumes after `resumeTokens` tokens of earlier attempts. */
    begin(attempt: string, resumeTokens: number): void;
    add(attempt: string, version: number, tokens: number): void;
    /** Describes the first token of the sample that names weights with which no attempt generated it. */
    findWrong(sample: Sample): string | undefined;
}

const ofEarlierAttempt = -1;

/** Creates an empty record. */
export function createTokenRecord(): TokenRecord {
    const versionsOf = new Map<string, number[]>();
    const attemptsOf = new Map<string, string[]>();

    const wasMadeBy = (sample: Sample, index: number, version: number): boolean =>
        (attemptsOf.get(sample.sample) ?? []).some(attempt => versionsOf.get(attempt)?.[index] === version);

    return {
        recordAttempt: ({ sample, attempt }) => {
            attemptsOf.set(sample, [...attemptsOf.get(sample) ?? [], attempt]);
        },
        begin: (attempt, resumeTokens) => {
            versionsOf.set(attempt, new Array<number>(resumeTokens).fill(ofEarlierAttempt));
        },
        add: (attempt, version, tokens) => {
            versionsOf.get(attempt)?.push(...new Array<number>(tokens).fill(version));
        },
        findWrong: sample => {
            const versions = sample.spans.flatMap(span => new Array<number>(span.tokens).fill(span.version));
            const wrong = versions.findIndex((version, index) => !wasMadeBy(sample, index, version));
            return wrong < 0 ? undefined : `${sample.sample} token ${wrong} says ${versions[wrong]}`;
        },
    };
}
