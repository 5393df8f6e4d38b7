/** Tells whether the process may trust its own clocks. */
export interface AwakeGuard {
    /** False for some time after the process was found to have stood still. */
    isAwake(): boolean;
}
