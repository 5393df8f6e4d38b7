/** Work in a batch. All times are what the item would take alone. */
export interface BatchItem {
    totalMs: number;
    doneMs: number;
    /** Wall time times share of the batch, so that the sum over items is the time the engine was busy. */
    engineMs: number;
    onProgress(): void;
    onDone(): void;
}
