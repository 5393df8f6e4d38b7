/** Sizes of the messages about copies of texts. */
export const copyLimits = {
    /** Encoding and decoding a message of this size takes a few milliseconds; a call may carry 1 MB. */
    maxMessageBytes: 256_000,
    /** Upper limit of what a message or a part in it needs besides its ids and texts. */
    envelopeBytes: 300,
};
