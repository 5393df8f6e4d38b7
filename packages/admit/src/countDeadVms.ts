import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";

type Death = QuarantineRecord["deaths"][number];

/** From this many VMs on it no longer matters who else was there. */
const beyondDoubtVms = 3;

function countedDeaths(record: QuarantineRecord, nowMs: number): Death[] {
    if (record.expiresAtMs <= nowMs) {
        return [];
    }
    const liftedAtMs = record.liftedAtMs ?? Number.NEGATIVE_INFINITY;
    return record.deaths.filter(death => death.atMs > liftedAtMs);
}

/**
 * VMs whose death counts against a record. If another content was in flight at all the same deaths, one of the two
 * is a bystander and the deaths do not tell which: convicting both would refuse an innocent content everywhere. Only
 * one VM counts then, so that both stay suspects, which run apart from then on: the next death names one of them.
 */
export function countDeadVms(
    record: QuarantineRecord,
    records: readonly QuarantineRecord[],
    nowMs: number,
): number {
    const deaths = countedDeaths(record, nowMs);
    const vms = new Set(deaths.map(death => death.vm)).size;
    if (vms <= 1 || vms >= beyondDoubtVms) {
        return vms;
    }
    const isDoubtful = records.some(other => {
        const others = other.digest === record.digest ? [] : countedDeaths(other, nowMs);
        return others.length > 0
            && deaths.every(death =>
                others.some(each => each.vm === death.vm && each.bootId === death.bootId)
            );
    });
    return isDoubtful ? 1 : vms;
}
