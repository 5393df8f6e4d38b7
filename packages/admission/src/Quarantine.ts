import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { TrialId } from "@auburnarch/types/TrialId";
import type { VmId } from "@auburnarch/types/VmId";
import type { TrialKind } from "./TrialKind.js";

/** Contents that were in flight when a sampler crashed, and those refused for it, as known to one entry. */
export interface Quarantine {
    /** Records the suspects of a sampler's report. */
    recordSuspects(report: Pick<SamplerReport, "suspects">): void;
    /** Records a crash that this entry observed itself. */
    recordCrash(vm: VmId, bootId: string, digests: ContentDigest[]): void;
    /** Clears a suspect, even a refused one, after a clean finish: a crash-inducing content crashes any sampler. */
    recordCleanFinish(digest: ContentDigest): void;
    /** True for quarantined content, which must not run on any sampler. */
    isRefused(digest: ContentDigest): boolean;
    /**
     * Requests a trial, the one run that a refused content may have now, alone on a sampler; undefined while it may
     * have none. Never rejects; while the object API is down there are no trials.
     */
    takeTrial(digest: ContentDigest, kind: TrialKind): Promise<TrialId | undefined>;
    /** Returns a trial that was not run; the next request with the content may use it. */
    returnTrial(digest: ContentDigest, trial: TrialId): void;
    /** Time until a refused content may have a trial; 0 if one is available now. */
    trialDueInMs(digest: ContentDigest, kind: TrialKind): number;
    /** True if a crash counts against the content. */
    isSuspect(digest: ContentDigest): boolean;
    /**
     * Whether `digest` must not run beside `others` on one sampler. Two suspects never run together: if the sampler
     * crashed, the harmless one would have its second crash recorded.
     */
    mustRunApart(digest: ContentDigest, others: Iterable<ContentDigest>): boolean;
    /** Applies the shared document `quarantine` if its version is higher; true if applied. */
    offer(document: Pick<SharedDocument, "version" | "value">): boolean;
    /** Records that have not expired. */
    list(): QuarantineRecord[];
    /** Clears a content's crashes so far. Resolves once durable; rejects while the object API is down. */
    lift(digest: ContentDigest): Promise<void>;
    /** Writes new records, merged with those of other entries; resolves with the document, undefined if none is new. */
    publish(): Promise<SharedDocument | undefined>;
    /** Publishes new records until `signal` is aborted; passes each document written to `onDocument`. */
    run(signal: AbortSignal, onDocument: (document: SharedDocument) => void): Promise<void>;
}
