import type { ItemResult } from "@auburnarch/batches/ItemResult";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { GroupNeed } from "./GroupNeed.js";

/** Writes the results of one batch job to the store, each item once, at positions that never change. */
export interface Recorder {
    /** Reads the results recorded so far. Rejects with the errors of the store; may be called again. */
    load(): Promise<void>;
    /** Sets the groups that the trainer waits for, and the monotonic time at which the step is due. */
    setNeed(need: GroupNeed, dueAtMs: number): void;
    add(result: ItemResult): void;
    isRecorded(item: SampleId): boolean;
    recorded(): number;
    /** Time for which a chunk has been sent to the store without a known outcome; 0 if there is none. */
    appendingMs(): number;
    /** Records the pending results now, without waiting for further ones. */
    flush(): void;
    /** Resolves once no result is pending, or the recorder is stopped. */
    drained(): Promise<void>;
    stop(): void;
}
