import type { Clock } from "@auburnarch/types/Clock";
import type { ByteSink } from "./ByteSink.js";

/** A short response is usually complete within this time and is then sent in one piece with its length. */
const firstFlushDelayMs = 1;
const defaultFlushDelayMs = 4;
const flushThresholdBytes = 32_768;

/**
 * Writes a body to a sink and ends it. Chunks are joined for up to `flushDelayMs`, before the first write for up to
 * `firstFlushDelayMs`: otherwise a token stream costs a system call and a frame per token, here and at each later hop.
 * Rejects if the body does; the caller then has to break the connection, so that an incomplete response is never taken
 * for a complete one.
 */
export async function pipeBody(
    clock: Clock,
    body: AsyncIterable<Uint8Array>,
    sink: ByteSink,
    flushDelayMs = defaultFlushDelayMs,
): Promise<void> {
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

    try {
        for await (const chunk of body) {
            buffered.push(chunk);
            bufferedBytes += chunk.length;
            cancelTimer ??= clock.startTimer(hasBegun ? flushDelayMs : firstFlushDelayMs, () => void flush());
            if (bufferedBytes >= flushThresholdBytes && !flush()) {
                await sink.drained();
            }
        }
        begin(bufferedBytes);
        sink.end(takeBuffered());
    }
    finally {
        cancelTimer?.();
    }
}
