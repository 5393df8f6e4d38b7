/** Processor time and memory of one process for one change of a manifest with the given number of samplers. */
export interface ChangePoint {
    samplers: number;
    manifestBytes: number;
    /** Bytes of the change as transferred between processes. */
    transferBytes: number;
    /** Receiving a change: applying it, validating the whole manifest and storing its text. */
    takeCpuUs: number;
    /** Creating the change for a peer. */
    makeCpuUs: number;
    /** Live heap of one process's documents. */
    heapBytes: number;
}
