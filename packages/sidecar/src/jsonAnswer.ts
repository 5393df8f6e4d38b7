import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";

/** Builds a complete JSON response. */
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
