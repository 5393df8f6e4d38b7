import type { EnginePort } from "@auburnarch/types/EnginePort";

/** Truth about engine use, measured at the engines themselves and not by the counters under test. */
export interface EngineMeter {
    /** An engine whose generations are counted. */
    wrap(engine: EnginePort): EnginePort;
    /** Brings the integrals up to now and returns them. */
    read(): EngineUse;
}

interface EngineUse {
    /** Engine time by policy: an engine's time is divided among what runs on it. */
    engineMsOf: ReadonlyMap<string, number>;
    /** Tokens generated for samples, kept or not. */
    sampleTokens: number;
    /** Tokens of earlier attempts read again to resume behind them. */
    replayedTokens: number;
}
