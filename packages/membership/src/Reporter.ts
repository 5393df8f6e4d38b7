/** Reports a sidecar to a few entries. */
export interface Reporter {
    start(): void;
    stop(): void;
    /** Reports at once, after a change of state. */
    reportNow(): void;
    /** Addresses reported to at present. */
    targets(): string[];
}
