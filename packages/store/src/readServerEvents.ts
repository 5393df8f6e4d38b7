const dataPrefix = "data: ";
const eventEnd = "\n\n";
const lastEvent = "[DONE]";
const maxEventChars = 4_000_000;

/** Yields the parsed JSON data of each server-sent event up to `[DONE]`; throws if the stream ends before it. */
export async function* readServerEvents(stream: AsyncIterable<Buffer>): AsyncGenerator<unknown> {
    const decoder = new TextDecoder();
    let pending = "";
    for await (const part of stream) {
        pending += decoder.decode(part, { stream: true });
        const events = pending.split(eventEnd);
        pending = events.pop()!;
        for (const event of events) {
            const data = event.startsWith(dataPrefix) ? event.slice(dataPrefix.length) : "";
            if (data === lastEvent) {
                return;
            }
            if (data !== "") {
                yield JSON.parse(data) as unknown;
            }
        }
        if (pending.length > maxEventChars) {
            throw new SyntaxError(`event exceeds ${maxEventChars} characters`);
        }
    }
    throw new Error("stream ended before its last event");
}
