/** A complete answer that can be replayed. */
export interface CachedAnswer {
    status: number;
    headers: Record<string, string>;
    body: Uint8Array;
}
