/** Tells whether the process may trust its own clocks. */
export interface PauseDetector {
    /** False for some time after the process was found to have stood still. */
    areClocksTrusted(): boolean;
}
