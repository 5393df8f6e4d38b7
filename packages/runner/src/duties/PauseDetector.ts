/** Detects pauses of the process, after which its clocks cannot be trusted. */
export interface PauseDetector {
    /** False for some time after a pause of the process was detected. */
    areClocksTrusted(): boolean;
}
