import type { ItemResult } from "./ItemResult.js";

/** Results at consecutive positions. Created once in the store and never changed. */
export interface ResultChunk {
    /** Position of the first result. */
    from: number;
    results: ItemResult[];
    /** Unique to the append, so that a writer recognises its own chunk after the store's answer was lost. */
    writer: string;
}
