import type { SamplerView } from "@auburnarch/types/SamplerView";

/** A sampler that is able to run the request, with what only the deciding dispatcher knows about it. */
export interface Candidate {
    view: SamplerView;
    /** Attempts this dispatcher has outstanding there. */
    outstanding: number;
    /** Tokens this dispatcher still expects of them. */
    outstandingTokens: number;
    /** Attempts sent since the report was made and not finished since, by this entry as a whole. */
    sentSinceReport: number;
    /** Attempts this dispatcher may still add there. */
    room: number;
    /** Waiting samples that decided in this round to wait for it. */
    reserved: number;
    /** Prompt tokens expected in the prefix cache, after decay of the hint. */
    cachedPromptTokens: number;
    /** Tokens a second that single generations reached there lately; undefined before the first one. */
    observedTokensPerSecond: number | undefined;
    /** The next weight swaps will take it. */
    aboutToSwap: boolean;
    /** Grows with each send of this dispatcher; 0 before the first one to this sampler. */
    lastSentOrder: number;
}
