import type { ContentDigest } from "./ContentDigest.js";
import type { TrialId } from "./TrialId.js";
import type { VmId } from "./VmId.js";

/**
 * Engine crashes during which a content was in flight. Once they cover two VMs the content is refused, until the record
 * expires, the content finishes a run cleanly, or an operator lifts the quarantine.
 */
export interface QuarantineRecord {
    digest: ContentDigest;
    /** Crashes. `contents` is the number of contents in flight, including this one; absent if it was not counted. */
    deaths: { vm: VmId; bootId: string; atMs: number; contents?: number; }[];
    /** Wall time after which the record is removed. */
    expiresAtMs: number;
    /** Wall time of the latest clean finish or operator's lift; crashes and trials before it no longer count. */
    liftedAtMs: number | undefined;
    /** Runs allowed although the content was refused, with the wall time at which each was allowed. */
    trials?: { trial: TrialId; atMs: number; }[];
}
