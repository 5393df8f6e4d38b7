/**
 * What a refused content is needed for: a sample that its step cannot end without, or a request, whose caller already
 * has an answer (the refusal).
 */
export type TrialKind = "sample" | "request";
