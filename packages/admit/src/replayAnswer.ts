import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { KeptAnswer } from "./KeptAnswer.js";

async function* once(body: Uint8Array): AsyncGenerator<Uint8Array> {
    if (body.length > 0) {
        yield body;
    }
}

/** The answer as it came, from memory. */
export function replayAnswer({ status, headers, body }: KeptAnswer): PlainAnswer {
    return { status, headers, body: once(body) };
}
