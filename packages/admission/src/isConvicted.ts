import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { countCrashedVms } from "./countCrashedVms.js";

const vmsToConvict = 2;

/**
 * Whether a record causes its content to be refused now: crashes on two different VMs since it was last lifted, none
 * of them explained by another content (see `countCrashedVms`). Two crashes on one VM may be the VM's fault.
 */
export function isConvicted(
    record: QuarantineRecord,
    nowMs: number,
    records: readonly QuarantineRecord[] = [],
): boolean {
    return countCrashedVms(record, records, nowMs) >= vmsToConvict;
}
