import type { VmId } from "@auburnarch/types/VmId";
import type { VmRecord } from "@auburnarch/types/VmRecord";

/**
 * Whether the VM list says that a sidecar's VM is leaving. Usually an entry tells its sidecar; while none answers,
 * only this row does, and a sidecar cut off from its entries would go on taking work from others. The row is found by
 * VM: right after a replacement the list still shows the former VM of the same sampler as leaving.
 */
export function isOwnVmLeaving(vm: VmId, listed: readonly VmRecord[]): boolean {
    return listed.some(record => record.role === "sidecar" && record.vm === vm && record.state === "leaving");
}
