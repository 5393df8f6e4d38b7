import type { ItemResult } from "@auburnarch/batches/ItemResult";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { GroupNeed } from "./GroupNeed.js";

/** Puts the results of one job into the store, each item once, at positions that never change. */
export interface Recorder {
    /** Reads what is recorded already. Rejects as the store does; may be called again. */
    load(): Promise<void>;
    /** Tells what the trainer waits for, and when the step is due by the steady clock. */
    setNeed(need: GroupNeed, dueAtMs: number): void;
    add(result: ItemResult): void;
    isRecorded(item: SampleId): boolean;
    recorded(): number;
    /** Records what waits now, without gathering further results. */
    flush(): void;
    /** Resolves once nothing waits any more, or the recorder is stopped. */
    drained(): Promise<void>;
    stop(): void;
}
