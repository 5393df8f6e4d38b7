import type { ClientAnswer } from "./ClientAnswer.js";
import type { ClientCall } from "./ClientCall.js";

/** Answers clients. */
export interface Gateway {
    /** Never rejects. The signal is aborted when the client goes away. */
    answer(call: ClientCall, signal: AbortSignal): Promise<ClientAnswer>;
    /** True if new clients should be sent here. */
    isReady(): boolean;
    /** Not ready any more; what comes is still served. */
    markNotReady(): void;
}
