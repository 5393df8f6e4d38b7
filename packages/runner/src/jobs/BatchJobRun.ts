/** One job while this runner runs it. */
export interface BatchJobRun {
    /** Every item is recorded. */
    isComplete(): boolean;
    /** Keeps unfinished texts, where they outlive the process. */
    saveTexts(): void;
    /** Ends its runs; what is made already is still recorded if `isHandedOver`. */
    stop(isHandedOver: boolean): Promise<void>;
}
