/** Versions of shared documents by name; a name with version 0 asks for a document not held yet. */
export type DocumentDigest = Record<string, number>;
