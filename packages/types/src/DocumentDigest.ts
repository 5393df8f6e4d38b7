/** Versions of shared documents by name; version 0 requests a document that the sender does not have yet. */
export type DocumentDigest = Record<string, number>;
