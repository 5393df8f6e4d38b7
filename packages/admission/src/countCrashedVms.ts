import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { countedCrashes } from "./countedCrashes.js";
import { isSameCrash } from "./isSameCrash.js";

type Crash = QuarantineRecord["deaths"][number];

/** With crashes on this many VMs, other contents in flight no longer matter. */
const unambiguousVms = 3;

const countVms = (crashes: Crash[]): number => new Set(crashes.map(crash => crash.vm)).size;

/**
 * Number of VMs whose crashes count against a record. A crash is explained by another content that was in flight and
 * has crashes on two or more VMs itself: one of the two is a bystander, and the crash does not show which. Counting it
 * for both would refuse a harmless content everywhere if it ran beside two different crash-inducing contents, or beside
 * one of them and at a crash with another cause. Instead both stay suspects and run apart, so that the next crash
 * identifies one of them.
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
    const unexplained = crashes.filter(crash =>
        !otherSuspects.some(others => others.some(other => isSameCrash(crash, other)))
    );
    return Math.max(1, countVms(unexplained));
}
