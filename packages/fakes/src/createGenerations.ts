import type { EngineFinish } from "@auburnarch/types/EngineFinish";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import { createBatch } from "./createBatch.js";
import { createPrefixCache } from "./createPrefixCache.js";
import type { FakeEngineOptions } from "./FakeEngineOptions.js";
import { fakeText } from "./fakeText.js";
import type { Generation } from "./Generation.js";
import { hashText } from "./hashText.js";
import { mixHash } from "./mixHash.js";

interface Generations {
    add(generation: Generation): void;
    find(attempt: string): Generation | undefined;
    all(): Generation[];
    finish(generation: Generation, reason: EngineFinish["reason"]): void;
    /** Emits the tokens generated so far, with the current fingerprint. */
    flush(): void;
    setPaused(paused: boolean): void;
    /** Marks an attempt so that it needs no prefill when it is resumed. */
    importCache(attempt: string): void;
    clearCache(): void;
    load(): { running: number; waiting: number; cachedTokens: number; };
    busyMs(): number;
}

interface GenerationsDeps {
    options: FakeEngineOptions;
    fingerprintOf: (request: EngineRequest) => string | undefined;
    onStart: (generation: Generation) => void;
    onEnd: (generation: Generation) => void;
    onLoadChange: () => void;
}

const charsPerToken = 4;
const roundingToleranceTokens = 1e-6;
const maxImportedAttempts = 256;

function defaultLength(request: EngineRequest): number {
    return 32 + mixHash(hashText(request.prompt), request.seed) % 480;
}

/** Creates the queue and the batch of a fake engine; requests run by priority, then in order of arrival. */
export function createGenerations(deps: GenerationsDeps): Generations {
    const { options } = deps;
    const { maxBatch = 16, tokensPerSecond = 100, prefillTokensPerSecond = 5_000 } = options;
    const { batchSlowdown = 0.02, cacheTokens = 200_000, chunkMs = 200 } = options;
    const lengthOf = options.lengthOf ?? defaultLength;
    const batch = createBatch({ clock: options.clock, slowdown: batchSlowdown, progressMs: chunkMs });
    const cache = createPrefixCache(cacheTokens);
    const waiting: Generation[] = [];
    const running = new Map<string, Generation>();
    const imported = new Set<string>();

    function emit(generation: Generation, upTo: number): void {
        const { request, emittedTokens } = generation;
        if (upTo <= emittedTokens || generation.settled) {
            return;
        }
        generation.emittedTokens = upTo;
        generation.onChunk({
            text: fakeText(request.prompt, request.seed, emittedTokens, upTo),
            tokens: upTo - emittedTokens,
            fingerprint: deps.fingerprintOf(request),
        });
    }

    function generatedTokens(generation: Generation): number {
        const decodedMs = Math.max(0, (generation.item?.doneMs ?? 0) - generation.prefillMs);
        const decoded = Math.floor(decodedMs * tokensPerSecond / 1_000 + roundingToleranceTokens);
        return Math.min(generation.targetTokens, generation.request.resumeTokens + decoded);
    }

    const progress = (generation: Generation): void => emit(generation, generatedTokens(generation));

    function finish(generation: Generation, reason: EngineFinish["reason"]): void {
        if (generation.settled) {
            return;
        }
        const item = generation.item;
        if (item !== undefined) {
            batch.remove(item);
        }
        if (reason === "cancelled") {
            progress(generation);
        }
        generation.settled = true;
        running.delete(generation.request.attempt);
        const index = waiting.indexOf(generation);
        if (index >= 0) {
            waiting.splice(index, 1);
        }
        deps.onEnd(generation);
        generation.resolve({
            reason,
            engineMs: item?.engineMs ?? 0,
            cachedPromptTokens: generation.cachedPromptTokens,
        });
        startWaiting();
    }

    function prepare(generation: Generation): void {
        const { request } = generation;
        const promptTokens = Math.ceil(request.prompt.length / charsPerToken);
        const cached = cache.take(request.policy, request.prompt);
        const prefillTokens = imported.delete(request.attempt)
            ? 0
            : promptTokens - cached + request.resumeTokens;
        const length = Math.max(1, lengthOf(request));
        generation.cachedPromptTokens = cached;
        generation.prefillMs = prefillTokens * 1_000 / prefillTokensPerSecond;
        generation.targetTokens = Math.max(request.resumeTokens, Math.min(length, request.maxTokens));
        generation.reason = length <= request.maxTokens ? "stop" : "length";
    }

    function start(generation: Generation): void {
        prepare(generation);
        const decodeTokens = generation.targetTokens - generation.request.resumeTokens;
        generation.item = {
            totalMs: generation.prefillMs + decodeTokens * 1_000 / tokensPerSecond,
            doneMs: 0,
            engineMs: 0,
            onProgress: () => progress(generation),
            onDone: () => {
                emit(generation, generation.targetTokens);
                finish(generation, generation.reason);
            },
        };
        running.set(generation.request.attempt, generation);
        deps.onStart(generation);
        batch.add(generation.item);
    }

    function startWaiting(): void {
        while (running.size < maxBatch && waiting.length > 0) {
            start(waiting.shift()!);
        }
        deps.onLoadChange();
    }

    return {
        add: generation => {
            const insertAt = waiting.findIndex(other => other.request.priority < generation.request.priority);
            waiting.splice(insertAt < 0 ? waiting.length : insertAt, 0, generation);
            startWaiting();
        },
        find: attempt => running.get(attempt) ?? waiting.find(other => other.request.attempt === attempt),
        all: () => [...running.values(), ...waiting],
        finish,
        flush: () => {
            batch.settle();
            running.forEach(progress);
        },
        setPaused: batch.setPaused,
        importCache: attempt => {
            imported.add(attempt);
            const [oldest] = imported;
            if (imported.size > maxImportedAttempts && oldest !== undefined) {
                imported.delete(oldest);
            }
        },
        clearCache: cache.clear,
        load: () => ({ running: running.size, waiting: waiting.length, cachedTokens: cache.tokens() }),
        busyMs: batch.busyMs,
    };
}
