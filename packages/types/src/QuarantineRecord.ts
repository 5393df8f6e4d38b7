import type { ContentDigest } from "./ContentDigest.js";
import type { TrialId } from "./TrialId.js";
import type { VmId } from "./VmId.js";

/**
 * Deaths that a content was in flight at; it is refused once they name two VMs, until it expires, ends a run cleanly
 * or is lifted.
 */
export interface QuarantineRecord {
    digest: ContentDigest;
    /** `contents` counts what was in flight at the death, this one included; absent where nobody counted. */
    deaths: { vm: VmId; bootId: string; atMs: number; contents?: number; }[];
    /** Wall time after which the record is forgotten. */
    expiresAtMs: number;
    /** Wall time of the latest clean end or operator's lift; deaths and trials before it no longer count. */
    liftedAtMs: number | undefined;
    /** Runs that were allowed although it was refused, by the wall time at which they were allowed. */
    trials?: { trial: TrialId; atMs: number; }[];
}
