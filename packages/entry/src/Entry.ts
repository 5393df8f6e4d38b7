import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { CallerRequest } from "./CallerRequest.js";
import type { TrainerCall } from "./TrainerCall.js";

/** The entry role, free of HTTP. Calls reject with a `ResultError`. */
export interface Entry {
    /** The team whose token it is; rejects with code `unauthenticated`. */
    authenticate(token: string | undefined): TeamId;
    maxBodyBytes(): number;
    call(request: CallerRequest, signal: AbortSignal): Promise<PlainAnswer>;
    /** Runs at the owner, wherever that is. `forwarded` keeps two entries from passing a call back and forth. */
    handleTrainerCall(team: TeamId, call: TrainerCall, forwarded: boolean): Promise<unknown>;
    teamUsage(team: TeamId): Promise<unknown>;
    /** `action` is method and path below `/operator/`. */
    operate(action: string, query: URLSearchParams, body: unknown): Promise<unknown>;
    /** A call of another process of the system. */
    receive(method: string, params: unknown): Promise<unknown>;
    isReady(): boolean;
    renderMetrics(): Promise<string>;
    /** Takes nothing new, finishes what is in flight up to the deadline, hands over what it owns. */
    shutdown(deadlineMs: number): Promise<void>;
}
