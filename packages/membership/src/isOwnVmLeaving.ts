import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { VmRecord } from "@auburnarch/types/VmRecord";

/**
 * Whether the VM list says that a sampler's VM is leaving. Usually an entry tells its sidecar; while none answers,
 * only this row does, and a sidecar cut off from its entries would go on taking work from others.
 */
export function isOwnVmLeaving(sampler: SamplerId, listed: readonly VmRecord[]): boolean {
    return listed.some(record =>
        record.role === "sidecar" && record.sampler === sampler && record.state === "leaving"
    );
}
