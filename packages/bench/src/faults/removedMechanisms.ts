import { countedCrashes } from "@auburnarch/admission/countedCrashes";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { FaultGuards } from "./FaultGuards.js";

const vmsToConvict = 2;

function hasCrashesOnTwoVms(record: QuarantineRecord, nowMs: number): boolean {
    return new Set(countedCrashes(record, nowMs).map(death => death.vm)).size >= vmsToConvict;
}

/** Mechanisms that no single guard stands for, by name, each with what runs in its place once it is taken away. */
export const removedMechanisms: Record<string, Partial<FaultGuards["quarantine"]>> = {
    /** A refused content stays refused. */
    "quarantine.trials": { isTrialDue: () => false },
    /** Each death counts for all that were in flight at it. */
    "quarantine.explainedDeaths": { isConvicted: hasCrashesOnTwoVms },
};
