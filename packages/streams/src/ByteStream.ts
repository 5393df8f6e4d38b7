/** Bytes on their way from a producer to one consumer. */
export interface ByteStream {
    /** False once more than the high mark waits unread: the producer should pause until `onRoom` is called. */
    push(chunk: Uint8Array): boolean;
    end(): void;
    /** The consumer sees the rejection after what was pushed before. */
    fail(error: unknown): void;
    body: AsyncIterable<Uint8Array>;
}
