import type { Clock } from "@auburnarch/types/Clock";
import type { SamplerReply } from "../SamplerReply.js";

type Answered = Extract<SamplerReply, { kind: "answered"; }>;

async function* withEnd(body: AsyncIterable<Uint8Array>, onEnd: () => void): AsyncGenerator<Uint8Array> {
    try {
        yield* body;
    }
    finally {
        onEnd();
    }
}

/**
 * Calls `release` when the body has been read or broken off, the caller has left, or after `maxMs`, when the sampler
 * has stopped processing. A body that is never read therefore does not keep its slot.
 */
export function releaseAfterBody(
    clock: Clock,
    answer: Answered,
    signal: AbortSignal,
    maxMs: number,
    release: () => void,
): Answered {
    const cancelTimeout = clock.startTimer(maxMs, onEnd);
    function onEnd(): void {
        cancelTimeout();
        signal.removeEventListener("abort", onEnd);
        release();
    }
    signal.addEventListener("abort", onEnd, { once: true });
    if (signal.aborted) {
        onEnd();
    }
    return { ...answer, body: withEnd(answer.body, onEnd) };
}
