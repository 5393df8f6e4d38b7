import type { ContentDigest } from "./ContentDigest.js";
import type { VmId } from "./VmId.js";

/** Deaths that a content was in flight at; it is refused once they name two VMs, until it expires or is lifted. */
export interface QuarantineRecord {
    digest: ContentDigest;
    deaths: { vm: VmId; bootId: string; atMs: number; }[];
    /** Wall time after which the record is forgotten. */
    expiresAtMs: number;
    /** Wall time of an operator's lift; deaths before it no longer count. */
    liftedAtMs: number | undefined;
}
