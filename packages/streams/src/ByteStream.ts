/** A stream of bytes from a producer to one consumer. */
export interface ByteStream {
    /** False once the buffer exceeds the high-water mark: the producer should pause until `onDrain` is called. */
    push(chunk: Uint8Array): boolean;
    end(): void;
    /** The consumer receives the rejection after everything that was pushed before it. */
    fail(error: unknown): void;
    body: AsyncIterable<Uint8Array>;
}
