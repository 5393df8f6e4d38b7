/** Load as an engine reports it; the figures are `ageMs` old when read. */
export interface EngineLoad {
    running: number;
    waiting: number;
    cachedTokens: number;
    ageMs: number;
}
