import type { DocumentSyncTiming } from "./DocumentSyncTiming.js";

/** Default intervals and limits of document synchronization. */
export const defaultDocumentSyncTiming: DocumentSyncTiming = {
    exchangeIntervalMs: 2_000,
    startIntervalMs: 250,
    exchangeTimeoutMs: 3_000,
    pushDelayMs: 20,
    pushFanOut: 3,
    watchWaitMs: 30_000,
    minBackoffMs: 500,
    maxBackoffMs: 10_000,
};
