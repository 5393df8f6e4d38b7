/** Answer of a plain request; `body` streams and rejects if it is cut short, so a part never passes as a whole. */
export interface PlainAnswer {
    status: number;
    headers: Record<string, string>;
    body: AsyncIterable<Uint8Array>;
}
