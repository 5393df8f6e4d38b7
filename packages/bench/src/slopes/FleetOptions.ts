/** Size and topology of a simulated fleet. */
export interface FleetOptions {
    entries: number;
    samplers: number;
    /** Number of jobs. Each has an owner document and a weights document, in addition to those of the key ranges. */
    jobs: number;
    regions: number;
    domains: number;
    /** Fraction of the calls between processes that are lost. */
    loss: number;
    seed: number;
    /** Bytes of HTTP headers and JSON-RPC envelope per call, in both directions together. */
    envelopeBytes: number;
}
