import type { ItemEvent } from "./ItemEvent.js";

/**
 * Splits a response body into events. Throws if the body is truncated or is no event stream, with code `answerTooLong` if it
 * is longer than `maxBytes`.
 */
export type ReadItemEvents = (body: AsyncIterable<Uint8Array>, maxBytes: number) => AsyncIterable<ItemEvent>;
