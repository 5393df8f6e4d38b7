import type { AttemptId } from "./AttemptId.js";
import type { EngineChunk } from "./EngineChunk.js";
import type { EngineDescription } from "./EngineDescription.js";
import type { EngineFinish } from "./EngineFinish.js";
import type { EngineLoad } from "./EngineLoad.js";
import type { EngineOrder } from "./EngineOrder.js";
import type { EngineOrderResult } from "./EngineOrderResult.js";
import type { EngineRequest } from "./EngineRequest.js";

/** A model engine. Calls reject with code `engineUnreachable` when the engine cannot be reached. */
export interface EnginePort {
    /**
     * Streams chunks to `onChunk` in order; aborting `signal` cancels. Resolves with reason `crashed` if the engine
     * crashes.
     */
    generate(
        request: EngineRequest,
        onChunk: (chunk: EngineChunk) => void,
        signal: AbortSignal,
    ): Promise<EngineFinish>;
    cancel(attempt: AttemptId): Promise<void>;
    order(order: EngineOrder): Promise<EngineOrderResult>;
    describe(): Promise<EngineDescription>;
    readLoad(): Promise<EngineLoad>;
    /** KV cache of a running or just cancelled attempt, for import elsewhere; undefined if it no longer exists. */
    exportCache(attempt: AttemptId): Promise<string | undefined>;
    /** True if the cache was imported; a resumed generation then skips the prefill. */
    importCache(attempt: AttemptId, cache: string): Promise<boolean>;
}
