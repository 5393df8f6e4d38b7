import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { Dispatcher } from "@auburnarch/dispatch/Dispatcher";
import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { ItemRun } from "./ItemRun.js";
import type { OpenItem } from "./OpenItem.js";

/** The dispatchers of one runner and the items registered with them. */
export interface ItemDispatch {
    dispatcherFor(batchJob: BatchJob): Dispatcher;
    register(task: SampleId, run: ItemRun, onGenerated: (generated: GeneratedSample) => void): void;
    /** Registered items that wait or run. */
    listItems(): OpenItem[];
    unregister(task: SampleId): void;
    stop(): Promise<void>;
}
