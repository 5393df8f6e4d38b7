/** Does what one process at a time may do for all, while this process holds the lease for it. */
export interface DutyHolder {
    /** This process has the duties. */
    isHeld(): boolean;
    /** Does nothing more and gives the lease up. */
    stop(): Promise<void>;
}
