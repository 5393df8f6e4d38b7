import type { OpenText } from "./OpenText.js";

/** The part of an item's text that a holder of copies does not have yet. */
export interface TextPart extends OpenText {
    /**
     * Identifies the text that the part belongs to. A text that starts over, or the text of another runner, has another
     * one, so that parts of two texts are never joined.
     */
    source: string;
    /** Number of events before the part; 0 replaces the copy. */
    fromEvent: number;
}
