import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";

/** A whole JSON answer. */
export function jsonAnswer(status: number, json: string): PlainAnswer {
    const bytes = Buffer.from(json);
    return {
        status,
        headers: { "content-type": "application/json", "content-length": String(bytes.length) },
        body: (async function*() {
            yield bytes;
        })(),
    };
}
