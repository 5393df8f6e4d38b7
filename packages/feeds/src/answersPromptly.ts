import type { RelayCandidate } from "./RelayCandidate.js";

/**
 * Runners without a call that has been waiting for longer come first. One that was cut off together with the process
 * does not count as doubtful for another 0.3 s, and a call through it would be lost.
 */
const promptMs = 100;

/** Whether the store answers a runner without delay, by its latest report. */
export const answersPromptly = ({ reach }: Pick<RelayCandidate, "reach">): boolean =>
    reach !== undefined && reach.unansweredMs < promptMs;
