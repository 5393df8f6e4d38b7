import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { TextPart } from "./TextPart.js";

/** Message with which the runner of a batch job sends copies of texts to a peer. */
export interface StoreTextsRequest {
    lot: BatchJobId;
    /** Name of the sender. */
    from: string;
    items: TextPart[];
    /** All results of the batch job are in the store, so that its copies can be dropped. */
    isOver?: boolean;
}
