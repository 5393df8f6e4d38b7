import type { EnginePort } from "@auburnarch/types/EnginePort";

/** Measures engine usage at the engines themselves, independently of the counters under test. */
export interface EngineMeter {
    /** Wraps an engine so that its generations are counted. */
    wrap(engine: EnginePort): EnginePort;
    /** Returns the usage up to now. */
    read(): EngineUse;
}

interface EngineUse {
    /** Engine time by policy: an engine's time is divided among the generations running on it. */
    engineMsOf: ReadonlyMap<string, number>;
    /** Tokens generated for samples, including discarded ones. */
    sampleTokens: number;
    /** Tokens of earlier attempts that were read again to resume after them. */
    replayedTokens: number;
}
