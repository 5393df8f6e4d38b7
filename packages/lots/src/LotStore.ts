import type { TeamId } from "@auburnarch/types/TeamId";
import type { Lot } from "./Lot.js";
import type { LotEntry } from "./LotEntry.js";
import type { LotId } from "./LotId.js";
import type { ResultChunk } from "./ResultChunk.js";

/**
 * Batch jobs in the store. Every call may reject with `storeThrottled` (nothing was done) or `storeUnavailable` (a
 * write may have taken effect, or may yet).
 */
export interface LotStore {
    /** Resolves once the job is kept. The same job again changes nothing. */
    accept(lot: Lot, submittedAtMs: number): Promise<void>;
    readEntry(lot: LotId): Promise<LotEntry | undefined>;
    readLot(lot: LotId): Promise<Lot | undefined>;
    readChunk(lot: LotId, number: number): Promise<ResultChunk | undefined>;
    /** Resolves with the chunk that stands at this number: the given one, or another runner's. */
    appendChunk(lot: LotId, number: number, chunk: ResultChunk): Promise<ResultChunk>;
    /** Marks a job as ended; false if there is no such job of the caller's team. */
    end(lot: LotId, caller: TeamId | undefined): Promise<boolean>;
    /** Deletes all that is kept of a job, its entry last, so that a deletion that breaks off is taken up again. */
    remove(lot: LotId): Promise<void>;
}
