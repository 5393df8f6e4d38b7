/** Consecutive tokens streamed by an engine. */
export interface EngineChunk {
    text: string;
    tokens: number;
    /** `policy@version` that produced the chunk; undefined if the engine does not state it. */
    fingerprint: string | undefined;
}
