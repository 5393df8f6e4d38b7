/** Answer to a plain request. `body` rejects if it is cut short, so that a partial body is never taken as complete. */
export interface PlainAnswer {
    status: number;
    headers: Record<string, string>;
    body: AsyncIterable<Uint8Array>;
}
