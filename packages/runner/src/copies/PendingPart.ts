import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { TextPart } from "./TextPart.js";

/** A part of a text that has yet to be sent to a holder. */
export interface PendingPart {
    lot: BatchJobId;
    /** One start of the holder, see `TextTracker`. */
    holder: string;
    /** Events of the whole text. */
    events: number;
    /** Size of the part in a message. */
    bytes: number;
    create(): TextPart;
    /** Records the number of events that the holder has according to its answer. */
    confirm(events: number): void;
}
