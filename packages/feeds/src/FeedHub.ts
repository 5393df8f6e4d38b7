import type { FeedAnswer } from "./FeedAnswer.js";
import type { FeedQuery } from "./FeedQuery.js";

/** Forwards changes of the store to other processes. */
export interface FeedHub {
    answer(query: FeedQuery): Promise<FeedAnswer>;
    stop(): void;
}
