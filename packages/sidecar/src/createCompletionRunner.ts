import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createByteStream } from "@auburnarch/streams/createByteStream";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { admitPlain } from "./admitPlain.js";
import { completionJson } from "./completionJson.js";

import { expectedEngineMs } from "./expectedEngineMs.js";
import type { GenerationEnd } from "./GenerationEnd.js";
import { jsonAnswer } from "./jsonAnswer.js";
import { parseCompletion } from "./parseCompletion.js";
import type { PlainWork } from "./PlainWork.js";
import { runGeneration } from "./runGeneration.js";
import type { ServedWeights } from "./ServedWeights.js";
import type { SidecarContext } from "./SidecarContext.js";

type Outcome = AttemptOutcome<PlainAnswer>;
type Completion = Exclude<ReturnType<typeof parseCompletion>, string>;

interface CompletionCall {
    request: PlainRequest;
    completion: Completion;
    policy: PolicyId;
    work: PlainWork;
}

const interactivePriority = 100;
const endOfStream = Buffer.from("data: [DONE]\n\n");

/** Creates `callPlain` of a model sampler's sidecar: OpenAI-style completions at interactive priority. */
export function createCompletionRunner(
    context: SidecarContext,
    engine: EnginePort,
    weights: ServedWeights,
): SidecarPort["callPlain"] {
    async function callPlain(request: PlainRequest, signal: AbortSignal): Promise<Outcome> {
        const completion = parseCompletion(request);
        if (typeof completion === "string") {
            return { kind: "ran", answer: errorAnswer(resultCodes.badRequest, completion) };
        }
        const policy = completion.policy ?? weights.served()[0]?.policy;
        const costMs = expectedEngineMs(context, { maxTokens: completion.maxTokens, resume: [] });
        const admitted = await admitPlain(context, request, costMs, policy, signal);
        if (admitted.kind === "refused") {
            return admitted.outcome;
        }
        const refusal = findRefusal(policy);
        if (refusal !== undefined) {
            admitted.work.endUnstarted();
            return { kind: "notRun", code: refusal, retryAfterMs: undefined };
        }
        const call = { request, completion, policy: policy!, work: admitted.work };
        return completion.stream ? runStreamed(call) : runWhole(call);
    }

    function findRefusal(policy: PolicyId | undefined): ResultCode | undefined {
        if (weights.state() === "engineDown") {
            return resultCodes.engineDown;
        }
        if (!context.guards.versionKnown(weights.state() !== "unknownVersion")) {
            return resultCodes.notReady;
        }
        return policy === undefined || weights.versionOf(policy) === undefined
            ? resultCodes.wrongPolicy
            : undefined;
    }

    async function generate(call: CompletionCall, onSpan: (span: TokenSpan) => void): Promise<GenerationEnd> {
        const { request, completion, policy, work } = call;
        const end = await runGeneration(context, {
            engine,
            weights,
            request: {
                attempt: request.attempt,
                policy,
                prompt: completion.prompt,
                resumeText: "",
                resumeTokens: 0,
                maxTokens: completion.maxTokens,
                priority: interactivePriority,
                seed: completion.seed,
            },
            digest: request.digest,
            resume: [],
            onSpan,
            signal: work.signal,
        });
        if (end.kind === "rejected") {
            work.endUnstarted();
        }
        else {
            work.end(end.engineMs, end.tokens);
        }
        const outcome = end.kind === "ended" && !end.complete ? "partial" : end.kind;
        context.deps.metrics.count("gate_attempts_total", { kind: "completion", outcome });
        return end;
    }

    async function runWhole(call: CompletionCall): Promise<Outcome> {
        const end = await generate(call, () => {});
        const failure = failureOf(call, end);
        if (failure !== undefined || end.kind !== "ended") {
            return failure!;
        }
        return { kind: "ran", answer: jsonAnswer(200, partJson(call, end.spans, end.tokens)) };
    }

    function runStreamed(call: CompletionCall): Promise<Outcome> {
        const stream = createByteStream();
        const event = (spans: TokenSpan[], tokens?: number): Uint8Array =>
            Buffer.from(`data: ${partJson(call, spans, tokens)}\n\n`);
        return new Promise(resolve => {
            const resolveStreaming = (): void =>
                resolve({
                    kind: "ran",
                    answer: {
                        status: 200,
                        headers: { "content-type": "text/event-stream", "cache-control": "no-store" },
                        body: stream.body,
                    },
                });
            const onSpan = (span: TokenSpan): void => {
                stream.push(event([span]));
                resolveStreaming();
            };
            void generate(call, onSpan).then(end => {
                const failure = failureOf(call, end);
                if (failure !== undefined || end.kind !== "ended") {
                    // Before the first span this is the outcome; after it the stream is broken off.
                    resolve(failure!);
                    stream.fail(
                        new ResultError(
                            resultCodes.connectionBroken,
                            "the generation ended before its last token",
                        ),
                    );
                    return;
                }
                stream.push(event([], end.tokens));
                stream.push(endOfStream);
                stream.end();
                resolveStreaming();
            });
        });
    }

    return callPlain;
}

function errorAnswer(code: ResultCode, detail: string): PlainAnswer {
    return jsonAnswer(
        code.httpStatus,
        JSON.stringify({ code: code.number, name: code.name, detail, action: code.action }),
    );
}

function failureOf(call: CompletionCall, end: GenerationEnd): Outcome | undefined {
    if (end.kind === "rejected") {
        return { kind: "notRun", code: end.code, retryAfterMs: undefined };
    }
    if (end.kind === "lost") {
        return { kind: "unknown", code: end.code };
    }
    if (end.complete) {
        return undefined;
    }
    const code = call.work.expired() ? resultCodes.deadlineWhileRunning : resultCodes.cancelled;
    return { kind: "unknown", code };
}

function partJson(call: CompletionCall, spans: TokenSpan[], tokens: number | undefined): string {
    return completionJson({
        id: call.request.attempt,
        kind: call.completion.kind,
        model: call.policy,
        spans,
        finishReason: tokens === undefined
            ? undefined
            : (tokens >= call.completion.maxTokens ? "length" : "stop"),
        stream: call.completion.stream,
        completionTokens: tokens ?? 0,
    });
}
