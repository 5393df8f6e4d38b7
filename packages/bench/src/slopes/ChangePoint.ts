/** Processor time of one process for one change of a manifest with so many samplers, and what the process holds. */
export interface ChangePoint {
    samplers: number;
    manifestBytes: number;
    /** Bytes of the change as it goes from process to process. */
    transferBytes: number;
    /** Taking a change: applying it, checking the manifest whole, keeping its text. */
    takeCpuUs: number;
    /** Making the change for a peer. */
    makeCpuUs: number;
    /** Live heap of one process's documents. */
    heapBytes: number;
}
