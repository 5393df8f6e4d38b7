/** Sends a sidecar's reports to a few entries. */
export interface Reporter {
    start(): void;
    stop(): void;
    /** Reports immediately, after a change of state. */
    reportNow(): void;
    /** Addresses of the entries currently reported to. */
    targets(): string[];
}
