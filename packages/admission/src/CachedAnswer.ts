/** A whole answer that can be given again. */
export interface CachedAnswer {
    status: number;
    headers: Record<string, string>;
    body: Uint8Array;
}
