import type { SamplerView } from "@auburnarch/types/SamplerView";

/** A sampler with the state that only the deciding dispatcher has of it. */
export interface Candidate {
    view: SamplerView;
    /** Outstanding attempts of this dispatcher on the sampler. */
    outstanding: number;
    /** Tokens that this dispatcher still expects from them. */
    outstandingTokens: number;
    /** Attempts that this process sent since the report was made, minus those that have ended since. */
    sentSinceReport: number;
    /** Attempts that this dispatcher may still send to the sampler. */
    room: number;
    /** Samples that this round assigned to the sampler but didn't send: they wait for it or are being moved to it. */
    reserved: number;
    /** Prompt tokens expected in the prefix cache, after the decay of the hint. */
    cachedPromptTokens: number;
    /** Recently measured tokens per second of a single generation; undefined before the first one. */
    observedTokensPerSecond: number | undefined;
    /** The sampler is next for a weight swap. */
    aboutToSwap: boolean;
    /** Sequence number of this dispatcher's last attempt sent to the sampler; 0 before the first one. */
    lastSentOrder: number;
}
