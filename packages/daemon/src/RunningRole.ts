/** A gateway or a runner that has started. */
export interface RunningRole {
    /** Keeps serving while other processes notice, hands over its work, and resolves when the process may exit. */
    shutdown(): Promise<void>;
}
