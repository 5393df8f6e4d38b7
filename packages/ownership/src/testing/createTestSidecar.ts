import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { Clock } from "@auburnarch/types/Clock";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import type { SamplerOrderResult } from "@auburnarch/types/SamplerOrderResult";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { TestSidecar } from "./TestSidecar.js";

const tokenMs = 10;
const swapMs = 40;
const slots = 8;

const lengthOf = (attempt: SampleAttempt): number => 1 + attempt.seed % attempt.maxTokens;
const countTokens = (spans: TokenSpan[]): number => spans.reduce((sum, span) => sum + span.tokens, 0);

/** Creates a test sidecar that serves version 0 of the job's policy. */
export function createTestSidecar(clock: Clock, sampler: SamplerId, job: JobManifest): TestSidecar {
    let version = 0 as WeightVersion;
    let isSwapping = false;
    let highestFencing = 0;
    let running = 0;
    let engineMs = 0;
    let started = 0;
    let fenced = 0;
    let emptyAnswersLeft = 0;
    let sequence = 0;

    function takeEmptyAnswer(): boolean {
        const isEmpty = emptyAnswersLeft > 0;
        emptyAnswersLeft -= isEmpty ? 1 : 0;
        return isEmpty;
    }

    const report = (): SamplerReport => ({
        sampler,
        vm: `vm-${sampler}`,
        incarnation: `${sampler}-1`,
        sequence: ++sequence,
        address: "",
        failureDomain: "Pamplona",
        region: "norte",
        service: job.service,
        state: isSwapping ? "swapping" : "ready",
        served: [{ policy: job.policy, version }],
        running,
        waiting: 0,
        limit: slots,
        tokensPerSecond: 1_000 / tokenMs,
        maxBatch: slots,
        configVersion: 1,
        suspects: [],
    } as unknown as SamplerReport);

    function refuse(attempt: SampleAttempt): AttemptOutcome<SampleAnswer> | undefined {
        if (attempt.fencing < highestFencing) {
            fenced++;
            return { kind: "notRun", code: resultCodes.fenced, retryAfterMs: undefined };
        }
        highestFencing = attempt.fencing;
        if (isSwapping || version < attempt.minVersion) {
            return { kind: "notRun", code: resultCodes.staleWeights, retryAfterMs: 50 };
        }
        return undefined;
    }

    async function generate(
        attempt: SampleAttempt,
        onSpan: (span: TokenSpan) => void,
        signal: AbortSignal,
    ): Promise<SampleAnswer> {
        const spans = [...attempt.resume];
        let spentMs = 0;
        while (countTokens(spans) < lengthOf(attempt) && !signal.aborted) {
            await clock.sleep(tokenMs, signal);
            spentMs += tokenMs;
            engineMs += tokenMs;
            const span = { version, tokens: 1, text: ` ${attempt.seed % 97}.${countTokens(spans)}` };
            spans.push(span);
            onSpan(span);
        }
        return {
            attempt: attempt.attempt,
            sampler,
            spans: takeEmptyAnswer() ? [] : spans,
            complete: countTokens(spans) >= lengthOf(attempt),
            engineMs: spentMs,
            cachedPromptTokens: 0,
        };
    }

    async function runSample(
        attempt: SampleAttempt,
        onSpan: (span: TokenSpan) => void,
        signal: AbortSignal,
    ): Promise<AttemptOutcome<SampleAnswer>> {
        const refusal = refuse(attempt);
        if (refusal !== undefined) {
            return refusal;
        }
        started++;
        running++;
        const answer = await generate(attempt, onSpan, signal);
        running--;
        return { kind: "ran", answer };
    }

    async function order({ order: engineOrder }: SamplerOrder): Promise<SamplerOrderResult> {
        if (engineOrder.fencing < highestFencing) {
            fenced++;
            return { kind: "refused", code: resultCodes.fenced, report: report() };
        }
        highestFencing = engineOrder.fencing;
        if (engineOrder.kind === "load" && engineOrder.version > version) {
            isSwapping = true;
            await clock.sleep(swapMs);
            isSwapping = false;
            version = engineOrder.version;
        }
        return { kind: "done", report: report() };
    }

    return {
        port: {
            runSample,
            order,
            callPlain: async () => ({
                kind: "notRun",
                code: resultCodes.unknownService,
                retryAfterMs: undefined,
            }),
            queryAttempt: async () => ({ incarnation: report().incarnation, state: "finished" }),
            readReport: async () => report(),
            readUsage: async () => [],
        },
        view: () => ({
            report: report(),
            reportAgeMs: 0,
            sentAttempts: 0,
            sentTokens: 0,
            sentSinceReport: 0,
            suspected: false,
        }),
        served: () => version,
        engineMs: () => engineMs,
        started: () => started,
        fenced: () => fenced,
        returnEmptyAnswers: count => {
            emptyAnswersLeft = count;
        },
    };
}
