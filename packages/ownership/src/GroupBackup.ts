import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { OpenStep } from "./OpenStep.js";

/** Keeps whole groups outside the process until they are acknowledged. Failures cost work, so they are only logged. */
export interface GroupBackup {
    save(step: OpenStep, group: SampleGroup): void;
    drop(step: OpenStep, groups: readonly number[]): void;
    /** Puts the kept groups that still count into the step's ledger; resolves with their number. */
    restore(step: OpenStep): Promise<number>;
}
