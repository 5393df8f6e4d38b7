import { countedCrashes } from "@auburnarch/admission/countedCrashes";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { FaultGuards } from "./FaultGuards.js";

const vmsToConvict = 2;

function hasCrashesOnTwoVms(record: QuarantineRecord, nowMs: number): boolean {
    return new Set(countedCrashes(record, nowMs).map(crash => crash.vm)).size >= vmsToConvict;
}

/** Mechanisms without a guard of their own, by name, each with its replacement when it is disabled. */
export const removedMechanisms: Record<string, Partial<FaultGuards["quarantine"]>> = {
    /** A quarantined request stays refused. */
    "quarantine.trials": { isTrialDue: () => false },
    /** Each crash counts against all requests that were in flight when it happened. */
    "quarantine.explainedDeaths": { isConvicted: hasCrashesOnTwoVms },
};
