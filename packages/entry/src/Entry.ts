import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { CallerRequest } from "./CallerRequest.js";
import type { TrainerCall } from "./TrainerCall.js";

/** The entry role, independent of HTTP. Calls reject with a `ResultError`. */
export interface Entry {
    /** Returns the team that the token belongs to; throws code `unauthenticated` if there is none. */
    authenticate(token: string | undefined): TeamId;
    maxBodyBytes(): number;
    call(request: CallerRequest, signal: AbortSignal): Promise<PlainAnswer>;
    /**
     * Runs a trainer's call at the owner of its job, here or at another entry. `forwarded` prevents two entries from
     * forwarding a call to each other repeatedly.
     */
    handleTrainerCall(team: TeamId, call: TrainerCall, forwarded: boolean): Promise<unknown>;
    teamUsage(team: TeamId): Promise<unknown>;
    /** Runs an operator's action; `action` is the HTTP method and the path below `/operator/`. */
    operate(action: string, query: URLSearchParams, body: unknown): Promise<unknown>;
    /** Handles a call from another process of the system. */
    receive(method: string, params: unknown): Promise<unknown>;
    isReady(): boolean;
    renderMetrics(): Promise<string>;
    /** Refuses new calls, finishes those in flight until the deadline and releases all leases. */
    shutdown(deadlineMs: number): Promise<void>;
}
