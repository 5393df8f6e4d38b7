import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { CachedAnswer } from "./CachedAnswer.js";
import { replayAnswer } from "./replayAnswer.js";

/** `cached` is undefined if the body exceeds the limit; `answer` is complete in both cases. */
interface BufferResult {
    answer: PlainAnswer;
    cached: CachedAnswer | undefined;
}

async function* chain(
    first: Uint8Array[],
    rest: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array> {
    yield* first;
    for (let next = await rest.next(); next.done !== true; next = await rest.next()) {
        yield next.value;
    }
}

/**
 * Reads an answer into memory, up to `maxBytes`; a longer one is streamed and not cached. Rejects if the body breaks
 * off while it is read.
 */
export async function bufferAnswer(answer: PlainAnswer, maxBytes: number): Promise<BufferResult> {
    const { status, headers } = answer;
    const parts: Uint8Array[] = [];
    const rest = answer.body[Symbol.asyncIterator]();
    let bytes = 0;
    for (let next = await rest.next(); next.done !== true; next = await rest.next()) {
        parts.push(next.value);
        bytes += next.value.length;
        if (bytes > maxBytes) {
            return { answer: { status, headers, body: chain(parts, rest) }, cached: undefined };
        }
    }
    const cached = { status, headers, body: Buffer.concat(parts) };
    return { answer: replayAnswer(cached), cached };
}
