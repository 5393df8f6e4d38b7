/** Load as an engine reports it, `ageMs` old when read. */
export interface EngineLoad {
    running: number;
    waiting: number;
    cachedTokens: number;
    ageMs: number;
}
