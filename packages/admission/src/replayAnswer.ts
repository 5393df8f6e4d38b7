import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { CachedAnswer } from "./CachedAnswer.js";

async function* once(body: Uint8Array): AsyncGenerator<Uint8Array> {
    if (body.length > 0) {
        yield body;
    }
}

/** Replays a cached answer. */
export function replayAnswer({ status, headers, body }: CachedAnswer): PlainAnswer {
    return { status, headers, body: once(body) };
}
