/** What a test trainer received and every breach of a promise that it saw. */
export interface TestTrainerReport {
    /** Groups taken in, by `step/group`. */
    receivedGroups: Map<string, { engineMs: number; samples: number; }>;
    problems: string[];
    stepsDone: number;
    /** Engine time of all samples taken in. */
    engineMs: number;
    /** Calls that were made again. */
    retries: number;
    droppedPages: number;
}
