/** How a generation ended at the engine; `engineMs` is the engine time charged to it. */
export interface EngineFinish {
    reason: "stop" | "length" | "cancelled" | "crashed" | "rejected";
    engineMs: number;
    /** Prompt tokens found in the prefix cache. */
    cachedPromptTokens: number;
}
