import type { RewardCall } from "@auburnarch/batches/RewardCall";

/** Outcome of a reward call: a score, or a permanent failure of the scoring service. */
type Scored = { kind: "scored"; score: string; } | { kind: "failed"; };

/**
 * Sends the reward call of a finished item and repeats it until it is answered. Resolves with undefined once the
 * signal is aborted.
 */
export type ScoreItem = (
    call: RewardCall,
    headers: Record<string, string>,
    attempts: number,
    signal: AbortSignal,
) => Promise<Scored | undefined>;
