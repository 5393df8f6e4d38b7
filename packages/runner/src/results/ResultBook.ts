import type { LotId } from "@auburnarch/lots/LotId";
import type { LotOwner } from "@auburnarch/lots/LotOwner";
import type { ResultChunk } from "@auburnarch/lots/ResultChunk";
import type { ResultsAnswer } from "@auburnarch/lots/ResultsAnswer";

/** Results of the jobs that run or ran here, for gateways that ask. */
export interface ResultBook {
    /** A run of the job starts here; what stands in the store is not known yet. */
    open(lot: LotId, owner: LotOwner): void;
    note(lot: LotId, number: number, chunk: ResultChunk): void;
    /** All chunks that stood in the store when the run started have been noted. */
    markLoaded(lot: LotId): void;
    /** The job runs here no more. */
    close(lot: LotId): void;
    /**
     * Notes that other runners have, or may have had, jobs that run here too. What they recorded is not known here, also
     * once they are done with them.
     */
    noteRivals(isRivalled: (lot: LotId) => boolean): void;
    /** The newest of the jobs that run here no more but whose results are held. */
    kept(): LotId[];
    /** Chunks from `fromChunk` on, waiting up to `waitMs` for the first of them. */
    answer(lot: LotId, fromChunk: number, waitMs: number): Promise<ResultsAnswer>;
}
