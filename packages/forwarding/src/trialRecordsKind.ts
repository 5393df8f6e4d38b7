/** Kind of the stored objects of contents that may crash samplers, keyed by the content's digest. */
export const trialRecordsKind = "content-trials";
