import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { FoundText } from "./FoundText.js";
import type { ReadTextsAnswer } from "./ReadTextsAnswer.js";
import type { StoreTextsAnswer } from "./StoreTextsAnswer.js";

/** Copies of unfinished texts: those that this runner sends, and those that it holds for others. */
export interface TextCopies {
    /** Answers a peer's `StoreTextsRequest`; throws `badRequest` if `params` is not one. */
    storeTexts(params: unknown): StoreTextsAnswer;
    /** Answers a peer's `ReadTextsRequest`; throws `badRequest` if `params` is not one. */
    readTexts(params: unknown): ReadTextsAnswer;
    /** Collects the copies of a batch job's texts from all runners. Never rejects. */
    collect(lot: BatchJobId): Promise<FoundText[]>;
    stop(): void;
}
