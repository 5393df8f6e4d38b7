import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { EngineFinish } from "@auburnarch/types/EngineFinish";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { createGenerations } from "./createGenerations.js";
import type { Generation } from "./Generation.js";

type EngineRequests = Pick<EnginePort, "generate" | "exportCache" | "importCache"> & {
    cancel(attempt: AttemptId): void;
    /** Removes all exportable caches, as a crash does. */
    clearExportable(): void;
};

interface EngineRequestsDeps {
    generations: ReturnType<typeof createGenerations>;
    serves: (policy: PolicyId) => boolean;
}

const maxExportable = 64;
const cachePrefix = "cacheOf=";
const unstartedFinish = (reason: EngineFinish["reason"]): EngineFinish => ({
    reason,
    engineMs: 0,
    cachedPromptTokens: 0,
});

function newGeneration(
    request: EngineRequest,
    onChunk: Generation["onChunk"],
    resolve: Generation["resolve"],
): Generation {
    return {
        request,
        onChunk,
        resolve,
        item: undefined,
        prefillMs: 0,
        targetTokens: 0,
        reason: "stop",
        emittedTokens: request.resumeTokens,
        cachedPromptTokens: 0,
        settled: false,
    };
}

/** Handles a fake engine's requests: generation, cancellation, and export and import of KV caches. */
export function createEngineRequests(deps: EngineRequestsDeps): EngineRequests {
    const { generations } = deps;
    const exportable = new Set<string>();

    function recordExportable(attempt: AttemptId): void {
        exportable.add(attempt);
        const [oldest] = exportable;
        if (exportable.size > maxExportable && oldest !== undefined) {
            exportable.delete(oldest);
        }
    }

    function cancel(attempt: AttemptId): void {
        const generation = generations.find(attempt);
        if (generation !== undefined) {
            recordExportable(attempt);
            generations.finish(generation, "cancelled");
        }
    }

    async function generate(
        request: EngineRequest,
        onChunk: Generation["onChunk"],
        signal: AbortSignal,
    ): Promise<EngineFinish> {
        if (!deps.serves(request.policy)) {
            return unstartedFinish("rejected");
        }
        if (signal.aborted) {
            return unstartedFinish("cancelled");
        }
        const onAbort = (): void => cancel(request.attempt);
        signal.addEventListener("abort", onAbort, { once: true });
        const finish = await new Promise<EngineFinish>(resolve => {
            generations.add(newGeneration(request, onChunk, resolve));
        });
        signal.removeEventListener("abort", onAbort);
        return finish;
    }

    return {
        generate,
        cancel,
        exportCache: async attempt => {
            const isAvailable = exportable.has(attempt) || generations.find(attempt) !== undefined;
            return isAvailable ? `${cachePrefix}${attempt}` : undefined;
        },
        importCache: async (attempt, cache) => {
            const isCache = cache.startsWith(cachePrefix);
            if (isCache) {
                generations.importCache(attempt);
            }
            return isCache;
        },
        clearExportable: () => exportable.clear(),
    };
}
