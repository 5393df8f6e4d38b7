import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { countedCrashes } from "./countedCrashes.js";
import { isSameCrash } from "./isSameCrash.js";

type Crash = QuarantineRecord["deaths"][number];

/** From this many VMs on it no longer matters who else was there. */
const unambiguousVms = 3;

const countVms = (crashes: Crash[]): number => new Set(crashes.map(death => death.vm)).size;

/**
 * VMs whose death counts against a record. A death is explained by another content that was in flight at it and has
 * died on two VMs or more itself: one of the two is a bystander, and the death does not tell which. Counting it for
 * both refuses an innocent content everywhere: one that was beside two different killers, or beside one of them and at
 * a crash of another cause. Both then stay suspects, which run apart from then on: the next death names one of them.
 */
export function countCrashedVms(
    record: QuarantineRecord,
    records: readonly QuarantineRecord[],
    nowMs: number,
): number {
    const crashes = countedCrashes(record, nowMs);
    const vms = countVms(crashes);
    if (vms <= 1 || vms >= unambiguousVms) {
        return vms;
    }
    const otherSuspects = records
        .filter(other => other.digest !== record.digest)
        .map(other => countedCrashes(other, nowMs))
        .filter(others => countVms(others) > 1);
    const unexplained = crashes.filter(death =>
        !otherSuspects.some(others => others.some(other => isSameCrash(death, other)))
    );
    return Math.max(1, countVms(unexplained));
}
