import type { Clock } from "@auburnarch/types/Clock";
import type { ByteSink } from "./ByteSink.js";

/** A short answer is usually whole within this time, and then leaves in one piece with its length. */
const firstFlushDelayMs = 1;
const defaultFlushDelayMs = 4;
const flushThresholdBytes = 32_768;

/**
 * Writes a body to a sink and ends it. Chunks are joined for up to `holdMs` (the first for a millisecond): a token
 * stream otherwise costs a system call and a frame for each token, here and at each hop behind. Rejects as the
 * body does; the caller then has to break the connection, so that the part never passes for the whole.
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
