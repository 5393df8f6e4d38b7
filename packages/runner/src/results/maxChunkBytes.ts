/**
 * Limit of the results in one chunk. The store takes values of at most 1,048,576 bytes and refuses a larger chunk at each
 * attempt; the rest is left for the envelope of the chunk and of a call through a peer, which has the same limit.
 */
export const maxChunkBytes = 900_000;
