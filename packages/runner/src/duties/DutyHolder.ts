/** Performs the duties of a single process while this process holds the lease for them. */
export interface DutyHolder {
    /** Whether this process holds the duties. */
    isHeld(): boolean;
    /** Stops all duties and releases the lease. */
    stop(): Promise<void>;
}
