import type { Clock } from "@auburnarch/types/Clock";
import type { ByteSink } from "./ByteSink.js";

/** A short answer is usually whole within this time, and then leaves in one piece with its length. */
const firstHoldMs = 1;
const defaultHoldMs = 4;
const flushBytes = 32_768;

/**
 * Writes a body to a sink and ends it. Chunks are joined for up to `holdMs` (the first for a millisecond): a token
 * stream otherwise costs a system call and a frame for each token, here and at each hop behind. Rejects as the
 * body does; the caller then has to break the connection, so that the part never passes for the whole.
 */
export async function pipeBody(
    clock: Clock,
    body: AsyncIterable<Uint8Array>,
    sink: ByteSink,
    holdMs = defaultHoldMs,
): Promise<void> {
    let held: Uint8Array[] = [];
    let heldBytes = 0;
    let begun = false;
    let cancelTimer: (() => void) | undefined;

    function takeHeld(): Uint8Array | undefined {
        const whole = held.length < 2 ? held[0] : Buffer.concat(held);
        held = [];
        heldBytes = 0;
        return whole;
    }

    function begin(wholeBytes: number | undefined): void {
        if (!begun) {
            begun = true;
            sink.begin(wholeBytes);
        }
    }

    function flush(): boolean {
        cancelTimer?.();
        cancelTimer = undefined;
        begin(undefined);
        const whole = takeHeld();
        return whole === undefined || sink.write(whole);
    }

    try {
        for await (const chunk of body) {
            held.push(chunk);
            heldBytes += chunk.length;
            cancelTimer ??= clock.startTimer(begun ? holdMs : firstHoldMs, () => void flush());
            if (heldBytes >= flushBytes && !flush()) {
                await sink.drained();
            }
        }
        begin(heldBytes);
        sink.end(takeHeld());
    }
    finally {
        cancelTimer?.();
    }
}
