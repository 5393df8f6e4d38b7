import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";

const vmsToConvict = 2;

/**
 * Whether a record refuses its content now: deaths on two different VMs since it was last lifted. Two deaths on
 * one VM may be the VM's fault.
 */
export function isConvicted(record: QuarantineRecord, nowMs: number): boolean {
    if (record.expiresAtMs <= nowMs) {
        return false;
    }
    const liftedAtMs = record.liftedAtMs ?? Number.NEGATIVE_INFINITY;
    const counted = record.deaths.filter(death => death.atMs > liftedAtMs);
    return new Set(counted.map(death => death.vm)).size >= vmsToConvict;
}
