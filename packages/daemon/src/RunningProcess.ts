/** A process of the system that has started. */
export interface RunningProcess {
    name: string;
    address: string;
    /** Graceful: nothing in flight is cut off before the deadline of the settings. */
    shutdown(): Promise<void>;
}
