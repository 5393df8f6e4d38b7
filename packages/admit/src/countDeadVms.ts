import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { countedDeaths } from "./countedDeaths.js";
import { isSameDeath } from "./isSameDeath.js";

type Death = QuarantineRecord["deaths"][number];

/** From this many VMs on it no longer matters who else was there. */
const beyondDoubtVms = 3;

const countVms = (deaths: Death[]): number => new Set(deaths.map(death => death.vm)).size;

/**
 * VMs whose death counts against a record. A death is explained by another content that was in flight at it and has
 * died on two VMs or more itself: one of the two is a bystander, and the death does not tell which. Counting it for
 * both refuses an innocent content everywhere: one that was beside two different killers, or beside one of them and at
 * a crash of another cause. Both then stay suspects, which run apart from then on: the next death names one of them.
 */
export function countDeadVms(
    record: QuarantineRecord,
    records: readonly QuarantineRecord[],
    nowMs: number,
): number {
    const deaths = countedDeaths(record, nowMs);
    const vms = countVms(deaths);
    if (vms <= 1 || vms >= beyondDoubtVms) {
        return vms;
    }
    const otherSuspects = records
        .filter(other => other.digest !== record.digest)
        .map(other => countedDeaths(other, nowMs))
        .filter(others => countVms(others) > 1);
    const unexplained = deaths.filter(death =>
        !otherSuspects.some(others => others.some(other => isSameDeath(death, other)))
    );
    return Math.max(1, countVms(unexplained));
}
