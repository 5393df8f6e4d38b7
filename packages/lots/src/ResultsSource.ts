import type { LotId } from "./LotId.js";
import type { LotOwner } from "./LotOwner.js";
import type { ResultChunk } from "./ResultChunk.js";

/** Results as the runner of a job tells them; undefined if none can: then the store is to be read. */
export type ResultsSource = (
    lot: LotId,
    fromChunk: number,
    waitMs: number,
) => Promise<LotOwner & { chunks: ResultChunk[]; hasMore: boolean; } | undefined>;
