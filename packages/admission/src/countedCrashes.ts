import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";

/** Crashes that still count against a record: those since its latest clean finish or lift, until it expires. */
export function countedCrashes(record: QuarantineRecord, nowMs: number): QuarantineRecord["deaths"] {
    if (record.expiresAtMs <= nowMs) {
        return [];
    }
    const liftedAtMs = record.liftedAtMs ?? Number.NEGATIVE_INFINITY;
    return record.deaths.filter(crash => crash.atMs > liftedAtMs);
}
