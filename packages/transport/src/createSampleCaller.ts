import { codeByNumber } from "@auburnarch/errors/codeByNumber";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createSpanAssembler } from "@auburnarch/streams/createSpanAssembler";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { match } from "ts-pattern";
import { createLineReader } from "./createLineReader.js";
import { exchangeHttp } from "./exchangeHttp.js";
import type { HttpExchange } from "./HttpExchange.js";
import { resolveBrokenAttempt } from "./resolveBrokenAttempt.js";
import { sampleLineSchema } from "./sampleLineSchema.js";
import { sidecarHeaders } from "./sidecarHeaders.js";
import type { SidecarTransport } from "./SidecarTransport.js";

type Outcome = AttemptOutcome<SampleAnswer>;

interface SampleCallerDeps extends SidecarTransport {
    /** Asks the sidecar to end the attempt and to return what was generated so far. */
    cancel: (attempt: AttemptId) => Promise<void>;
}

/** How long a cancelled attempt may take to return what was generated. */
const cancelGraceMs = 3_000;
const answerGraceMs = 5_000;
const maxLineChars = 1_048_576;

/** Implements `runSample` over HTTP: the response has one line of JSON for each span and one for the outcome. */
export function createSampleCaller(deps: SampleCallerDeps): SidecarPort["runSample"] {
    const { clock } = deps;

    async function runSample(
        attempt: SampleAttempt,
        onSpan: (span: TokenSpan) => void,
        signal: AbortSignal,
    ): Promise<Outcome> {
        if (signal.aborted) {
            return { kind: "notRun", code: resultCodes.overloaded, retryAfterMs: undefined };
        }
        await deps.learnIncarnation();
        const sentTo = deps.incarnations.current();
        const sentAtMs = clock.monotonicMs();
        const abort = new AbortController();
        const abortExchange = (): void => abort.abort();
        let cancelTimer = (): void => {};
        const cancel = (): void => {
            cancelTimer = clock.startTimer(cancelGraceMs, abortExchange);
            deps.cancel(attempt.attempt).catch(abortExchange);
        };
        signal.addEventListener("abort", cancel, { once: true });
        try {
            const outcome = await exchange(attempt, onSpan, abort.signal);
            if (outcome !== undefined) {
                return outcome;
            }
            const { query, guards } = deps;
            return await resolveBrokenAttempt({
                attempt: attempt.attempt,
                sentTo,
                sentAtMs,
                clock,
                query,
                guards,
            });
        }
        finally {
            cancelTimer();
            signal.removeEventListener("abort", cancel);
        }
    }

    /** Returns undefined if the connection broke and the sidecar has to be queried. */
    async function exchange(
        attempt: SampleAttempt,
        onSpan: (span: TokenSpan) => void,
        signal: AbortSignal,
    ): Promise<Outcome | undefined> {
        const body = Buffer.from(JSON.stringify(attempt));
        const { agent, host, port } = deps;
        const headers = {
            ...deps.commonHeaders,
            "content-type": "application/json",
            "content-length": String(body.length),
        };
        const call = { clock, agent, host, port, method: "POST", path: "/samples", headers, body, signal };
        const answered = await exchangeHttp({ ...call, timeoutMs: attempt.budgetMs + answerGraceMs });
        if (answered.kind === "notWritten") {
            return { kind: "notRun", code: resultCodes.connectFailed, retryAfterMs: undefined };
        }
        return answered.kind === "broken" ? undefined : readAnswer(attempt, onSpan, answered);
    }

    async function readAnswer(
        attempt: SampleAttempt,
        onSpan: (span: TokenSpan) => void,
        answered: Extract<HttpExchange, { kind: "answered"; }>,
    ): Promise<Outcome | undefined> {
        deps.incarnations.record(answered.headers[sidecarHeaders.incarnation]);
        const assembler = createSpanAssembler(attempt.resume);
        let outcome: Outcome | undefined;
        const readChunk = createLineReader(maxLineChars, line => {
            const parsed = sampleLineSchema.parse(JSON.parse(line));
            if (parsed.kind === "span") {
                const span = { ...parsed, version: parsed.version as WeightVersion };
                assembler.add({ version: span.version, tokens: span.tokens, text: span.text });
                onSpan({ version: span.version, tokens: span.tokens, text: span.text });
                return;
            }
            outcome = match(parsed)
                .returnType<Outcome | undefined>()
                .with({ kind: "ran" }, ran => {
                    const isComplete = ran.streamedSpans === assembler.addedSpans()
                        && ran.streamedTokens === assembler.addedTokens();
                    // A stream with missing spans is handled like a broken connection.
                    return isComplete ? { kind: "ran", answer: answerOf(ran) } : undefined;
                })
                .with({ kind: "notRun" }, refused => ({
                    kind: "notRun",
                    code: codeByNumber(refused.code),
                    retryAfterMs: refused.retryAfterMs,
                }))
                .with({ kind: "unknown" }, unknown => ({ kind: "unknown", code: codeByNumber(unknown.code) }))
                .exhaustive();
        });
        const answerOf = (ran: {
            sampler: string;
            complete: boolean;
            engineMs: number;
            cachedPromptTokens: number;
        }): SampleAnswer => ({
            attempt: attempt.attempt,
            sampler: ran.sampler as SamplerId,
            spans: assembler.spans(),
            complete: ran.complete,
            engineMs: ran.engineMs,
            cachedPromptTokens: ran.cachedPromptTokens,
        });
        try {
            for await (const chunk of answered.body) {
                readChunk(chunk);
            }
            return outcome;
        }
        catch {
            return outcome;
        }
    }

    return runSample;
}
