/** Shape of a simulated fleet. */
export interface FleetOptions {
    entries: number;
    samplers: number;
    /** Jobs; each has an owner document and a weights document, beside those of the key ranges. */
    jobs: number;
    regions: number;
    domains: number;
    /** Part of the messages between processes that are lost. */
    loss: number;
    seed: number;
    /** Bytes of HTTP headers and JSON-RPC envelope of one call, both ways. */
    envelopeBytes: number;
}
