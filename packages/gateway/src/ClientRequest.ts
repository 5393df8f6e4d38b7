import type { Credential } from "@auburnarch/routing/Credential";

/** A client's request as the platform's adapter hands it over. */
export interface ClientRequest {
    /** Undefined if the client sent none. */
    requestId: string | undefined;
    method: string;
    host: string;
    credential: Credential;
    /** Path and query. */
    path: string;
    /** Headers that go on to the sampler. */
    headers: Record<string, string>;
    /** The credential as headers: it goes on only where the configuration has no teams, and so is not ours. */
    credentialHeaders: () => Record<string, string>;
    /** Time the client still waits; undefined if it does not say. */
    deadlineMs: number | undefined;
    /** Rejects with `bodyTooLarge`, or `connectionBroken` if the client goes away. */
    readBody: (maxBytes: number) => Promise<Uint8Array>;
}
