/** What a test trainer received, and every violated guarantee that it detected. */
export interface TestTrainerReport {
    /** Received groups by `step/group`. */
    receivedGroups: Map<string, { engineMs: number; samples: number; }>;
    problems: string[];
    stepsDone: number;
    /** Engine time of all received samples. */
    engineMs: number;
    /** Repeated calls. */
    retries: number;
    droppedPages: number;
}
