/** Tokens streamed by an engine. */
export interface EngineChunk {
    text: string;
    tokens: number;
    /** `policy@version` where the engine states what produced the chunk; undefined where it does not. */
    fingerprint: string | undefined;
}
