/** An item of work in a batch. `totalMs` and `doneMs` are times that the item would take with nothing else running. */
export interface BatchItem {
    totalMs: number;
    doneMs: number;
    /** Elapsed time divided by the number of items in the batch, so that the sum over all items is the busy time. */
    engineMs: number;
    onProgress(): void;
    onDone(): void;
}
