import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { OpenStep } from "./OpenStep.js";

/** Has samples generated, verified, scored and committed to their step's ledger. */
export interface SampleProducer {
    /** Submits every missing sample of the groups that is not outstanding yet. */
    requestMissing(step: OpenStep, groups: readonly number[]): void;
    /** Cancels the outstanding samples of the groups. */
    withdraw(step: OpenStep, groups: readonly number[]): void;
    /** Removes the group's samples beyond the staleness bound and requests them again; true if there were any. */
    regenerateStale(step: OpenStep, group: number): boolean;
    /** Handles a sample that the dispatcher returned. */
    handleGenerated(generated: GeneratedSample): Promise<void>;
}
