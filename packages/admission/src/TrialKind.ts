/** What a refused content is wanted for: a sample that a step cannot end without, or a request whose caller has its answer. */
export type TrialKind = "sample" | "request";
