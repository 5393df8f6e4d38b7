import { MessageChannel } from "node:worker_threads";

/** Smaller buffers may share their memory with others, and are cheap to collect. */
const minBytes = 16_384;

/** What is transferred to a closed port is freed. */
const { port1: closedPort } = new MessageChannel();
closedPort.close();

/**
 * Frees the memory of a large buffer at once; nothing may use the buffer afterwards. Left to the garbage collector, the
 * memory of dropped buffers may be several times that of the ones in use, because the heap is small and they are outside
 * of it. A buffer that is only a part of its memory is left alone.
 */
export function freeBuffer({ buffer, byteLength }: Uint8Array): void {
    if (byteLength >= minBytes && byteLength === buffer.byteLength) {
        closedPort.postMessage(undefined, [buffer as ArrayBuffer]);
    }
}
