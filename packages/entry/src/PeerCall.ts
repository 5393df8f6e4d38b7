/** Calls a method of another process of the system; rejects with a `ResultError` on failure. */
export type PeerCall = (
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
) => Promise<unknown>;
