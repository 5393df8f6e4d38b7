import type { StepDocument } from "./StepDocument.js";

/** The stored steps of a job; rejects like the object API. */
export interface StepStore {
    /** All steps, from a list no older than `writtenVersion`; `storedSteps` includes those with stray objects only. */
    list(writtenVersion: number): Promise<{ steps: StepDocument[]; storedSteps: number[]; }>;
    /** Writes a step unless it is there; resolves with the one that stands, rejects with `stepConflict` if it differs. */
    create(document: StepDocument): Promise<StepDocument>;
    read(step: number): Promise<StepDocument | undefined>;
    remove(step: number): Promise<void>;
}
