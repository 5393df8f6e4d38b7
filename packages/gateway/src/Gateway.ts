import type { ClientAnswer } from "./ClientAnswer.js";
import type { ClientCall } from "./ClientCall.js";

/** Handles the calls of clients. */
export interface Gateway {
    /** Never rejects. The signal is aborted when the client disconnects. */
    answer(call: ClientCall, signal: AbortSignal): Promise<ClientAnswer>;
    /** True if this process should receive new clients. */
    isReady(): boolean;
    /** Reports not ready from now on; calls that still arrive are served. */
    markNotReady(): void;
}
