/** The one attempt that a content with several breaks may have now, among all processes. */
export interface ContentTrial {
    /**
     * Ends the trial. `notRun`: no sampler ran the content, so that the next request may have the trial at once.
     * `unknown`: it broke off or was not answered; until more is known, the trial counts as one more break.
     */
    end(outcome: "completed" | "notRun" | "unknown"): void;
}
