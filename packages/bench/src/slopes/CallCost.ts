/** Cost of one JSON-RPC call between two processes over HTTP on the loopback interface. */
export interface CallCost {
    /** Bytes on the wire in addition to the JSON of request and answer. */
    envelopeBytes: number;
    /** Processor time of client and server together. */
    cpuUs: number;
    calls: number;
}
