import type { StepDocument } from "./StepDocument.js";

/** The stored steps of a job. Calls reject with the errors of the object API. */
export interface StepStore {
    /** All steps, from a list no older than `writtenVersion`; `storedSteps` adds those with leftover objects only. */
    list(writtenVersion: number): Promise<{ steps: StepDocument[]; storedSteps: number[]; }>;
    /** Writes a step unless it exists; resolves with the stored one, rejects with `stepConflict` on other prompts. */
    create(document: StepDocument): Promise<StepDocument>;
    read(step: number): Promise<StepDocument | undefined>;
    remove(step: number): Promise<void>;
}
