/** A gateway or a runner that has started. */
export interface RunningRole {
    /** Serves on while others notice, hands over, and resolves when the process may end. */
    shutdown(): Promise<void>;
}
