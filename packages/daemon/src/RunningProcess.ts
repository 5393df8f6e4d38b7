/** An entry or a sidecar that has started. */
export interface RunningProcess {
    name: string;
    address: string;
    /** Shuts down gracefully: requests in flight may finish until the deadline in the settings. */
    shutdown(): Promise<void>;
}
