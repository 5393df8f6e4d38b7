import { createSpanAssembler } from "@auburnarch/collect/createSpanAssembler";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { EngineChunk } from "@auburnarch/types/EngineChunk";
import type { EngineFinish } from "@auburnarch/types/EngineFinish";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { createStamper } from "./createStamper.js";
import type { GateContext } from "./GateContext.js";
import type { GenerationEnd } from "./GenerationEnd.js";
import { parseFingerprint } from "./parseFingerprint.js";
import type { RunningGeneration } from "./RunningGeneration.js";
import type { ServedWeights } from "./ServedWeights.js";

interface GenerationRequest {
    engine: EnginePort;
    weights: ServedWeights;
    request: EngineRequest;
    digest: ContentDigest;
    resume: TokenSpan[];
    onSpan: (span: TokenSpan) => void;
    /** Ends the generation; what was made is kept. */
    signal: AbortSignal;
}

const unstarted: EngineFinish = { reason: "cancelled", engineMs: 0, cachedPromptTokens: 0 };
const silent: EngineFinish = { reason: "crashed", engineMs: 0, cachedPromptTokens: 0 };
/** An engine told to cancel a lost generation may take this long to say what it cost. */
const lostGraceMs = 1_000;

/** Runs one generation at the engine and stamps its tokens. Never rejects. */
export async function runGeneration(context: GateContext, given: GenerationRequest): Promise<GenerationEnd> {
    const { weights, request, engine } = given;
    const { clock } = context.deps;
    const bootId = weights.description()?.bootId ?? "";
    const versionAtStart = weights.versionOf(request.policy);
    const stamp = createStamper(weights, context.guards, request.policy, parseFingerprint);
    const assembler = createSpanAssembler(given.resume);
    const abort = new AbortController();
    let lost: ResultCode | undefined;
    let firstAtMs: number | undefined;
    let finishSilent = (): void => {};
    let cancelGrace = (): void => {};

    const entry: RunningGeneration = {
        bootId,
        policy: request.policy,
        stamped: true,
        engineLost: () => lose(resultCodes.engineCrashed),
        weightsLost: () => lose(resultCodes.incarnationChanged),
        cancel: () => abort.abort(),
    };

    function lose(code: ResultCode): void {
        if (lost === undefined) {
            lost = code;
            cancelGrace = clock.startTimer(lostGraceMs, finishSilent);
            abort.abort();
        }
    }

    function take(chunk: EngineChunk): void {
        if (lost !== undefined) {
            return;
        }
        firstAtMs ??= clock.monotonicMs();
        entry.stamped &&= chunk.fingerprint !== undefined;
        const span = stamp(chunk);
        if (span === undefined) {
            lose(resultCodes.incarnationChanged);
            return;
        }
        assembler.add(span);
        given.onSpan(span);
    }

    async function runEngine(): Promise<EngineFinish> {
        if (given.signal.aborted) {
            return unstarted;
        }
        const cancel = (): void => abort.abort();
        given.signal.addEventListener("abort", cancel, { once: true });
        const whenSilent = new Promise<EngineFinish>(resolve => {
            finishSilent = () => resolve(silent);
        });
        try {
            return await Promise.race([engine.generate(request, take, abort.signal), whenSilent]);
        }
        catch (error) {
            // The engine was gone before it took the request, which is therefore not suspect of the death.
            weights.noteDown(codeOf(error).name);
            lost ??= resultCodes.engineUnreachable;
            return silent;
        }
        finally {
            given.signal.removeEventListener("abort", cancel);
            cancelGrace();
        }
    }

    /** An engine that stamps nothing may have changed its weights since the last heartbeat. */
    async function isUnchanged(): Promise<boolean> {
        const told = await engine.describe().catch(() => undefined);
        const version = told?.served.find(served => served.policy === request.policy)?.version;
        const unchanged = told?.bootId === bootId && version === versionAtStart;
        if (!unchanged) {
            void weights.describe();
        }
        return unchanged;
    }

    async function classifyLoss(finish: EngineFinish): Promise<void> {
        if (lost === undefined && finish.reason === "crashed") {
            context.suspects.noteDeath(bootId);
            weights.noteDown("generationCrashed");
            lost = resultCodes.engineCrashed;
        }
        if (lost === undefined && !entry.stamped && !context.guards.provenance(await isUnchanged())) {
            lost = resultCodes.incarnationChanged;
        }
    }

    function observeSpeed(tokens: number): void {
        const elapsedMs = clock.monotonicMs() - (firstAtMs ?? 0);
        const swapped = assembler.spans().length > 1 || weights.state() !== "ready";
        if (firstAtMs !== undefined && tokens > 0 && elapsedMs > 0 && !swapped) {
            context.limit.observe(elapsedMs / tokens, context.slots.running());
        }
    }

    function conclude(finish: EngineFinish): GenerationEnd {
        const tokens = assembler.addedTokens();
        if (lost !== undefined) {
            return { kind: "lost", code: lost, tokens, engineMs: finish.engineMs };
        }
        if (finish.reason === "rejected" && tokens === 0) {
            return { kind: "rejected", code: resultCodes.wrongPolicy };
        }
        const complete = finish.reason === "stop" || finish.reason === "length";
        if (complete) {
            context.suspects.clear(given.digest);
        }
        observeSpeed(tokens);
        const { engineMs, cachedPromptTokens } = finish;
        return { kind: "ended", spans: assembler.spans(), complete, tokens, engineMs, cachedPromptTokens };
    }

    context.generations.add(entry);
    const leaveSuspects = context.suspects.enter(given.digest);
    const finish = await runEngine();
    if (finish.reason !== "crashed") {
        // The engine is done with it. What is looked up from here on takes time in which another content may kill it.
        leaveSuspects();
    }
    await classifyLoss(finish);
    leaveSuspects();
    context.generations.delete(entry);
    return conclude(finish);
}
