import type { RewardCall } from "@auburnarch/batches/RewardCall";

/** How a reward call ended: with the score, or with the scoring service having failed it for good. */
type Scored = { kind: "scored"; score: string; } | { kind: "failed"; };

/** Sends the reward call of a finished item, again until it is answered. Undefined once the signal is aborted. */
export type ScoreItem = (
    call: RewardCall,
    headers: Record<string, string>,
    attempts: number,
    signal: AbortSignal,
) => Promise<Scored | undefined>;
