import type { BodyHold } from "@auburnarch/overload/BodyHold";
import type { Credential } from "@auburnarch/routing/Credential";

/** A client's request as received from the platform's adapter. */
export interface ClientRequest {
    /** Undefined if the client did not send one. */
    requestId: string | undefined;
    method: string;
    host: string;
    credential: Credential;
    /** Path and query. */
    path: string;
    /** Headers that are forwarded to the sampler. */
    headers: Record<string, string>;
    /** The credential as headers; forwarded only if the configuration has no teams and so does not use it. */
    credentialHeaders: () => Record<string, string>;
    /** Milliseconds that the client still waits; undefined if it has set no deadline. */
    deadlineMs: number | undefined;
    /**
     * Rejects with `bodyTooLarge`, with `bodiesFull` if the body does not fit into the hold or the hold is closed, or with
     * `connectionBroken` if the client disconnects.
     */
    readBody: (maxBytes: number, hold: BodyHold) => Promise<Uint8Array>;
}
