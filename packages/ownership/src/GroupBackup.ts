import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { OpenStep } from "./OpenStep.js";

/**
 * Stores complete groups outside the process until they are acknowledged. A failure only costs repeated work, so it
 * is logged and not thrown.
 */
export interface GroupBackup {
    save(step: OpenStep, group: SampleGroup): void;
    drop(step: OpenStep, groups: readonly number[]): void;
    /** Commits the stored groups that are still valid to the step's ledger; resolves with their number. */
    restore(step: OpenStep): Promise<number>;
}
