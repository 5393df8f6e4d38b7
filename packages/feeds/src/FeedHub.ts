import type { FeedAnswer } from "./FeedAnswer.js";
import type { FeedQuery } from "./FeedQuery.js";

/** Hands the store's changes on to other processes. */
export interface FeedHub {
    answer(query: FeedQuery): Promise<FeedAnswer>;
    stop(): void;
}
