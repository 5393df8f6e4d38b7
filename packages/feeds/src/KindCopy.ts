import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { FeedAnswer } from "./FeedAnswer.js";
import type { FeedQuery } from "./FeedQuery.js";

/** Local copy of all objects of one kind and their latest changes, as received from the store. */
export interface KindCopy {
    /** Whether there are changes after `since`. */
    hasChanges(since: ObjectVersion | undefined): boolean;
    answer(query: FeedQuery): FeedAnswer;
    /** Milliseconds since the store last confirmed the copy, or since the copy was created. */
    ageMs(): number;
    /** Aborted at the next change. */
    nextChange(): AbortSignal;
    /** Ends the wait of all callers that wait for a change. */
    wakeWaiters(): void;
    stop(): void;
}
