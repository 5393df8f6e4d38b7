import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";

type Crash = Pick<QuarantineRecord["deaths"][number], "vm" | "bootId">;

/** A death is one engine incarnation on one VM, whoever tells of it and when. */
export function isSameCrash(a: Crash, b: Crash): boolean {
    return a.vm === b.vm && a.bootId === b.bootId;
}
