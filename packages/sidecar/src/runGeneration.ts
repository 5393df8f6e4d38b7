import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createSpanAssembler } from "@auburnarch/streams/createSpanAssembler";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { EngineChunk } from "@auburnarch/types/EngineChunk";
import type { EngineFinish } from "@auburnarch/types/EngineFinish";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { createStamper } from "./createStamper.js";
import type { GenerationEnd } from "./GenerationEnd.js";
import { parseFingerprint } from "./parseFingerprint.js";
import type { RunningGeneration } from "./RunningGeneration.js";
import type { ServedWeights } from "./ServedWeights.js";
import type { SidecarContext } from "./SidecarContext.js";

interface GenerationOptions {
    engine: EnginePort;
    weights: ServedWeights;
    request: EngineRequest;
    digest: ContentDigest;
    resume: TokenSpan[];
    onSpan: (span: TokenSpan) => void;
    /** Ends the generation; the tokens generated so far are kept. */
    signal: AbortSignal;
}

const unstartedFinish: EngineFinish = { reason: "cancelled", engineMs: 0, cachedPromptTokens: 0 };
const unansweredFinish: EngineFinish = { reason: "crashed", engineMs: 0, cachedPromptTokens: 0 };
/** Longest wait for the cost of a lost generation, after the engine was asked to cancel it. */
const lostGenerationGraceMs = 1_000;

/** Runs one generation at the engine and attributes its tokens to weight versions. Never rejects. */
export async function runGeneration(
    context: SidecarContext,
    options: GenerationOptions,
): Promise<GenerationEnd> {
    const { weights, request, engine } = options;
    const { clock } = context.deps;
    const bootId = weights.description()?.bootId ?? "";
    const versionAtStart = weights.versionOf(request.policy);
    const stamp = createStamper(weights, context.guards, request.policy, parseFingerprint);
    const assembler = createSpanAssembler(options.resume);
    const abort = new AbortController();
    let lossCode: ResultCode | undefined;
    let firstChunkAtMs: number | undefined;
    let finishUnanswered = (): void => {};
    let cancelGrace = (): void => {};

    const generation: RunningGeneration = {
        bootId,
        policy: request.policy,
        stamped: true,
        onEngineCrash: () => markLost(resultCodes.engineCrashed),
        onWeightsUnknown: () => markLost(resultCodes.incarnationChanged),
        cancel: () => abort.abort(),
    };

    function markLost(code: ResultCode): void {
        if (lossCode === undefined) {
            lossCode = code;
            cancelGrace = clock.startTimer(lostGenerationGraceMs, finishUnanswered);
            abort.abort();
        }
    }

    function handleChunk(chunk: EngineChunk): void {
        if (lossCode !== undefined) {
            return;
        }
        firstChunkAtMs ??= clock.monotonicMs();
        generation.stamped &&= chunk.fingerprint !== undefined;
        const span = stamp(chunk);
        if (span === undefined) {
            markLost(resultCodes.incarnationChanged);
            return;
        }
        assembler.add(span);
        options.onSpan(span);
    }

    async function runEngine(): Promise<EngineFinish> {
        if (options.signal.aborted) {
            return unstartedFinish;
        }
        const cancel = (): void => abort.abort();
        options.signal.addEventListener("abort", cancel, { once: true });
        const whenUnanswered = new Promise<EngineFinish>(resolve => {
            finishUnanswered = () => resolve(unansweredFinish);
        });
        try {
            return await Promise.race([engine.generate(request, handleChunk, abort.signal), whenUnanswered]);
        }
        catch (error) {
            // The engine was unreachable, or its answer was none: the request is not suspect of a crash.
            weights.markEngineDown(codeOf(error).name);
            lossCode ??= resultCodes.engineUnreachable;
            return unansweredFinish;
        }
        finally {
            options.signal.removeEventListener("abort", cancel);
            cancelGrace();
        }
    }

    /** An engine that does not stamp its chunks may have changed its weights since the last heartbeat. */
    async function areWeightsUnchanged(): Promise<boolean> {
        const reported = await engine.describe().catch(() => undefined);
        const version = reported?.served.find(served => served.policy === request.policy)?.version;
        const isSame = reported?.bootId === bootId && version === versionAtStart;
        if (!isSame) {
            void weights.describe();
        }
        return isSame;
    }

    async function classifyLoss(finish: EngineFinish): Promise<void> {
        if (lossCode === undefined && finish.reason === "crashed") {
            context.suspects.recordCrash(bootId);
            weights.markEngineDown("generationCrashed");
            lossCode = resultCodes.engineCrashed;
        }
        if (
            lossCode === undefined && !generation.stamped
            && !context.guards.provenance(await areWeightsUnchanged())
        ) {
            lossCode = resultCodes.incarnationChanged;
        }
    }

    function observeSpeed(tokens: number): void {
        const elapsedMs = clock.monotonicMs() - (firstChunkAtMs ?? 0);
        const swapped = assembler.spans().length > 1 || weights.state() !== "ready";
        if (firstChunkAtMs !== undefined && tokens > 0 && elapsedMs > 0 && !swapped) {
            context.limit.observe(elapsedMs / tokens, context.slots.running());
        }
    }

    function toGenerationEnd(finish: EngineFinish): GenerationEnd {
        const tokens = assembler.addedTokens();
        if (lossCode !== undefined) {
            return { kind: "lost", code: lossCode, tokens, engineMs: finish.engineMs };
        }
        if (finish.reason === "rejected" && tokens === 0) {
            return { kind: "rejected", code: resultCodes.wrongPolicy };
        }
        const complete = finish.reason === "stop" || finish.reason === "length";
        if (complete) {
            context.suspects.clear(options.digest);
        }
        observeSpeed(tokens);
        const { engineMs, cachedPromptTokens } = finish;
        return { kind: "ended", spans: assembler.spans(), complete, tokens, engineMs, cachedPromptTokens };
    }

    context.generations.add(generation);
    const removeInFlight = context.suspects.addInFlight(options.digest);
    const finish = await runEngine();
    if (finish.reason !== "crashed") {
        // The engine has finished this request. The checks below take time in which another content may crash it.
        removeInFlight();
    }
    await classifyLoss(finish);
    removeInFlight();
    context.generations.delete(generation);
    return toGenerationEnd(finish);
}
