import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { OpenText } from "./OpenText.js";
import type { ReadTextsAnswer } from "./ReadTextsAnswer.js";
import type { ReadTextsRequest } from "./ReadTextsRequest.js";
import type { StoreTextsAnswer } from "./StoreTextsAnswer.js";
import type { StoreTextsRequest } from "./StoreTextsRequest.js";

/** The copies that this runner holds of texts that other runners generate. */
export interface HeldCopies {
    store(request: StoreTextsRequest): StoreTextsAnswer;
    read(request: ReadTextsRequest): ReadTextsAnswer;
    /** All copies of a batch job's texts. */
    list(lot: BatchJobId): OpenText[];
    stop(): void;
}
