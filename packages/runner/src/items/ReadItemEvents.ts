import type { ItemEvent } from "./ItemEvent.js";

/** Splits a response body into events; throws if the body is truncated or is no event stream. */
export type ReadItemEvents = (body: AsyncIterable<Uint8Array>) => AsyncIterable<ItemEvent>;
