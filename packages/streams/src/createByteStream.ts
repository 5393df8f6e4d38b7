import type { ByteStream } from "./ByteStream.js";

interface ByteStreamOptions {
    /** Called when there is room again after `push` returned false. */
    onDrain?: () => void;
    /** Called when the consumer stops reading before the end. */
    onCancel?: () => void;
}

const highWaterMarkBytes = 262_144;

/**
 * Creates a stream with one producer and one consumer. All buffered bytes are delivered as one chunk, so that many
 * small chunks cost the consumer only one write.
 */
export function createByteStream(options: ByteStreamOptions = {}): ByteStream {
    let buffered: Uint8Array[] = [];
    let bufferedBytes = 0;
    let isFull = false;
    let isEnded = false;
    let isFailed = false;
    let failure: unknown;
    let resolveNext: (() => void) | undefined;

    function notify(): void {
        const run = resolveNext;
        resolveNext = undefined;
        run?.();
    }

    function drainBuffer(): Uint8Array {
        const joined = buffered.length === 1 ? buffered[0]! : Buffer.concat(buffered);
        buffered = [];
        bufferedBytes = 0;
        if (isFull) {
            isFull = false;
            options.onDrain?.();
        }
        return joined;
    }

    async function next(): Promise<IteratorResult<Uint8Array>> {
        for (;;) {
            if (buffered.length > 0) {
                return { done: false, value: drainBuffer() };
            }
            if (isFailed) {
                throw failure;
            }
            if (isEnded) {
                return { done: true, value: undefined };
            }
            await new Promise<void>(resolve => {
                resolveNext = resolve;
            });
        }
    }

    async function cancel(): Promise<IteratorResult<Uint8Array>> {
        if (!isEnded && !isFailed) {
            isEnded = true;
            options.onCancel?.();
        }
        return { done: true, value: undefined };
    }

    return {
        push: chunk => {
            if (!isEnded && !isFailed) {
                buffered.push(chunk);
                bufferedBytes += chunk.length;
                notify();
            }
            isFull = bufferedBytes > highWaterMarkBytes;
            return !isFull;
        },
        end: () => {
            isEnded = true;
            notify();
        },
        fail: error => {
            if (!isEnded && !isFailed) {
                isFailed = true;
                failure = error;
                notify();
            }
        },
        body: { [Symbol.asyncIterator]: () => ({ next, return: cancel }) },
    };
}
