/** A holder's answer to copies of texts. */
export interface StoreTextsAnswer {
    /** Number of events that the holder has of each item in the message. */
    events: Record<string, number>;
}
