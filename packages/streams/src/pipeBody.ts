import type { Clock } from "@auburnarch/types/Clock";
import type { ByteSink } from "./ByteSink.js";

/** A short response is usually complete within this time and is then sent in one piece with its length. */
const firstFlushDelayMs = 1;
const defaultFlushDelayMs = 4;
const flushThresholdBytes = 32_768;

/**
 * Writes a body to a sink and ends it. Chunks are joined for up to `flushDelayMs`, before the first write for up to
 * `firstFlushDelayMs`: otherwise a token stream costs a system call and a frame per token, here and at each later hop.
 * Rejects if the body does, or if the sink can't be written; the caller then has to break the connection, so that an
 * incomplete response is never taken for a complete one.
 */
export function pipeBody(
    clock: Clock,
    body: AsyncIterable<Uint8Array>,
    sink: ByteSink,
    flushDelayMs = defaultFlushDelayMs,
): Promise<void> {
    return new Promise((resolve, reject) => {
        pump(clock, body, sink, flushDelayMs, reject).then(resolve, reject);
    });
}

/** `onFlushError` is called with an error of a write that no chunk awaits; nothing is written after it. */
async function pump(
    clock: Clock,
    body: AsyncIterable<Uint8Array>,
    sink: ByteSink,
    flushDelayMs: number,
    onFlushError: (error: unknown) => void,
): Promise<void> {
    let hasFailed = false;
    let buffered: Uint8Array[] = [];
    let bufferedBytes = 0;
    let hasBegun = false;
    let cancelTimer: (() => void) | undefined;

    function takeBuffered(): Uint8Array | undefined {
        const joined = buffered.length < 2 ? buffered[0] : Buffer.concat(buffered);
        buffered = [];
        bufferedBytes = 0;
        return joined;
    }

    function begin(totalBytes: number | undefined): void {
        if (!hasBegun) {
            hasBegun = true;
            sink.begin(totalBytes);
        }
    }

    function flush(): boolean {
        cancelTimer?.();
        cancelTimer = undefined;
        begin(undefined);
        const joined = takeBuffered();
        return joined === undefined || sink.write(joined);
    }

    function flushLater(): void {
        try {
            flush();
        }
        catch (error) {
            hasFailed = true;
            onFlushError(error);
        }
    }

    try {
        for await (const chunk of body) {
            if (hasFailed) {
                return;
            }
            buffered.push(chunk);
            bufferedBytes += chunk.length;
            cancelTimer ??= clock.startTimer(hasBegun ? flushDelayMs : firstFlushDelayMs, flushLater);
            if (bufferedBytes >= flushThresholdBytes && !flush()) {
                await sink.drained();
            }
        }
        if (!hasFailed) {
            begin(bufferedBytes);
            sink.end(takeBuffered());
        }
    }
    finally {
        cancelTimer?.();
    }
}
