import type { VmRecord } from "@auburnarch/types/VmRecord";
import type { EntryTarget } from "./EntryTarget.js";

/** The live entries of a VM list, as report targets. */
export function listEntryTargets(listed: readonly VmRecord[]): EntryTarget[] {
    return listed
        .filter(record => record.role === "entry" && record.state === "live")
        .map(({ address, failureDomain }) => ({ address, failureDomain }));
}
