import type { ItemEvent } from "./ItemEvent.js";

/** Splits the body of a run's answer into events; throws if the body is cut short or no stream of events. */
export type ReadItemEvents = (body: AsyncIterable<Uint8Array>) => AsyncIterable<ItemEvent>;
