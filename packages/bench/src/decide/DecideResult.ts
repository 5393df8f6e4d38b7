/** Cost of a placement decision at one fleet size. */
export interface DecideResult {
    /** Number of samplers considered. */
    candidates: number;
    /** Number of the dispatcher's attempts in flight. */
    inFlight: number;
    /** Time to choose a sampler for one waiting sample from given candidates. */
    decisionUs: number;
    decisionBytes: number;
    /** Time to list the candidates, which is done once for all samples waiting at that moment. */
    candidatesUs: number;
    candidatesBytes: number;
}
