import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { FeedAnswer } from "./FeedAnswer.js";
import type { FeedQuery } from "./FeedQuery.js";

/** All objects of one kind and their latest changes, as the store told them to this process. */
export interface KindCopy {
    /** Whether there is something to tell to one that knows all up to `since`. */
    hasChanges(since: ObjectVersion | undefined): boolean;
    answer(query: FeedQuery): FeedAnswer;
    /** Milliseconds since the store last confirmed the copy, or since it was begun. */
    ageMs(): number;
    /** Aborted at the next change. */
    nextChange(): AbortSignal;
    /** Lets those go that wait for a change. */
    wakeWaiters(): void;
    stop(): void;
}
