/** One batch job while this runner runs it. */
export interface BatchJobRun {
    /** Every item is recorded. */
    isComplete(): boolean;
    /** Saves unfinished texts if the text cache outlives the process. */
    saveTexts(): void;
    /** Stops all runs of items; results that are already complete are still recorded if `isHandedOver`. */
    stop(isHandedOver: boolean): Promise<void>;
}
