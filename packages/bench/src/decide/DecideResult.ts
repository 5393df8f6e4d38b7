/** Cost of a placement decision at one size. */
export interface DecideResult {
    /** Samplers that are looked at. */
    candidates: number;
    /** Attempts of the dispatcher in flight. */
    inFlight: number;
    /** Choosing for one waiting sample, candidates given. */
    decisionUs: number;
    decisionBytes: number;
    /** Turning the views into candidates; once for all samples that wait at that moment. */
    candidatesUs: number;
    candidatesBytes: number;
}
