import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SlotGrant } from "./SlotGrant.js";
import type { SlotRequest } from "./SlotRequest.js";

/** Places at the backend server, given out fairly under the concurrency limit. */
export interface Slots {
    acquire(request: SlotRequest): Promise<SlotGrant> | SlotGrant;
    running(): number;
    runningOf(policy: PolicyId): number;
    waiting(): number;
    waitingOf(team: string): number;
    /** Starts nothing of the policy until `resume`. */
    pausePolicy(policy: PolicyId): void;
    resumePolicy(policy: PolicyId): void;
    /** Starts what may start now, after the limit was raised. */
    startWaiting(): void;
    /** Refuses what waits and `matches`, with `code`. */
    refuseWaiting(matches: (request: SlotRequest) => boolean, code: ResultCode): void;
    /** Calls `run` once nothing of the policy runs; the returned function withdraws that. */
    onDrained(policy: PolicyId, run: () => void): () => void;
    /** Calls `run` once nothing runs at all; the returned function withdraws that. */
    onIdle(run: () => void): () => void;
    /** Cancels all running work that may be cancelled; it keeps what it made. */
    preemptAll(): void;
}
