import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SlotGrant } from "./SlotGrant.js";
import type { SlotRequest } from "./SlotRequest.js";

/** Slots at the backend server, shared fairly between teams within the concurrency limit. */
export interface Slots {
    acquire(request: SlotRequest): Promise<SlotGrant> | SlotGrant;
    running(): number;
    runningOf(policy: PolicyId): number;
    waiting(): number;
    waitingOf(team: string): number;
    /** Starts no request of the policy until `resumePolicy`. */
    pausePolicy(policy: PolicyId): void;
    resumePolicy(policy: PolicyId): void;
    /** Starts waiting requests that may start now, after the limit was raised. */
    startWaiting(): void;
    /** Refuses the waiting requests for which `matches` returns true, with `code`. */
    refuseWaiting(matches: (request: SlotRequest) => boolean, code: ResultCode): void;
    /** Calls `run` once no request of the policy runs; the returned function cancels the call. */
    onDrained(policy: PolicyId, run: () => void): () => void;
    /** Calls `run` once no request runs at all; the returned function cancels the call. */
    onIdle(run: () => void): () => void;
    /** Cancels all running work that may be cancelled; it keeps the tokens generated so far. */
    preemptAll(): void;
}
