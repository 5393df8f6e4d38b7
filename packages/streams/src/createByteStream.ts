import type { ByteStream } from "./ByteStream.js";

interface ByteStreamOptions {
    /** Called when there is room again after `push` returned false. */
    onRoom?: () => void;
    /** Called when the consumer gives up before the end. */
    onGivenUp?: () => void;
}

const highMarkBytes = 262_144;

/**
 * Makes a stream that a producer fills and one consumer reads. What waits unread is handed over in one piece, so
 * that many small chunks cost the consumer one write.
 */
export function createByteStream(options: ByteStreamOptions = {}): ByteStream {
    let waiting: Uint8Array[] = [];
    let waitingBytes = 0;
    let full = false;
    let ended = false;
    let failed = false;
    let failure: unknown;
    let wake: (() => void) | undefined;

    function notify(): void {
        const run = wake;
        wake = undefined;
        run?.();
    }

    function takeAll(): Uint8Array {
        const whole = waiting.length === 1 ? waiting[0]! : Buffer.concat(waiting);
        waiting = [];
        waitingBytes = 0;
        if (full) {
            full = false;
            options.onRoom?.();
        }
        return whole;
    }

    async function next(): Promise<IteratorResult<Uint8Array>> {
        for (;;) {
            if (waiting.length > 0) {
                return { done: false, value: takeAll() };
            }
            if (failed) {
                throw failure;
            }
            if (ended) {
                return { done: true, value: undefined };
            }
            await new Promise<void>(resolve => {
                wake = resolve;
            });
        }
    }

    async function giveUp(): Promise<IteratorResult<Uint8Array>> {
        if (!ended && !failed) {
            ended = true;
            options.onGivenUp?.();
        }
        return { done: true, value: undefined };
    }

    return {
        push: chunk => {
            if (!ended && !failed) {
                waiting.push(chunk);
                waitingBytes += chunk.length;
                notify();
            }
            full = waitingBytes > highMarkBytes;
            return !full;
        },
        end: () => {
            ended = true;
            notify();
        },
        fail: error => {
            if (!ended && !failed) {
                failed = true;
                failure = error;
                notify();
            }
        },
        body: { [Symbol.asyncIterator]: () => ({ next, return: giveUp }) },
    };
}
