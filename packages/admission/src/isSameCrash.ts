import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";

type Crash = Pick<QuarantineRecord["deaths"][number], "vm" | "bootId">;

/** A crash is identified by engine incarnation and VM, regardless of who reports it and when. */
export function isSameCrash(a: Crash, b: Crash): boolean {
    return a.vm === b.vm && a.bootId === b.bootId;
}
