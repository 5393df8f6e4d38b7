import type { EngineChunk } from "@auburnarch/types/EngineChunk";
import type { EngineFinish } from "@auburnarch/types/EngineFinish";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { BatchItem } from "./BatchItem.js";

/** One generation in a fake engine. `item` is undefined while the generation waits. */
export interface Generation {
    request: EngineRequest;
    onChunk: (chunk: EngineChunk) => void;
    resolve: (finish: EngineFinish) => void;
    item: BatchItem | undefined;
    prefillMs: number;
    /** Token count of the complete text, including resumed tokens. */
    targetTokens: number;
    reason: "stop" | "length";
    emittedTokens: number;
    cachedPromptTokens: number;
    settled: boolean;
}
