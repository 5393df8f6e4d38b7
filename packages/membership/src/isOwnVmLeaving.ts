import type { VmId } from "@auburnarch/types/VmId";
import type { VmRecord } from "@auburnarch/types/VmRecord";

/**
 * Whether the VM list marks a sidecar's VM as leaving. Usually an entry reports this to the sidecar. While no entry
 * answers, only the VM list shows it, and a sidecar that missed it would keep accepting work from others. The
 * row is matched by VM: right after a replacement, the list still shows the sampler's former VM as leaving.
 */
export function isOwnVmLeaving(vm: VmId, listed: readonly VmRecord[]): boolean {
    return listed.some(record => record.role === "sidecar" && record.vm === vm && record.state === "leaving");
}
