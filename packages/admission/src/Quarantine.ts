import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { TrialId } from "@auburnarch/types/TrialId";
import type { VmId } from "@auburnarch/types/VmId";
import type { TrialKind } from "./TrialKind.js";

/** Contents that were in flight when a sampler died, and those refused for it, as one entry knows them. */
export interface Quarantine {
    /** Takes the suspects of a sampler's report. */
    recordSuspects(report: Pick<SamplerReport, "suspects">): void;
    /** Takes a death that this entry saw itself. */
    recordCrash(vm: VmId, bootId: string, digests: ContentDigest[]): void;
    /** A clean finish clears a suspect, also one that is refused: a content that kills does so wherever it runs. */
    recordCleanFinish(digest: ContentDigest): void;
    /** True for convicted content: it is not to run anywhere. */
    isRefused(digest: ContentDigest): boolean;
    /**
     * Asks for the one run that a refused content may have now, alone on a sampler; undefined while it may have none.
     * Never rejects: while the object API is down there are no trials.
     */
    takeTrial(digest: ContentDigest, kind: TrialKind): Promise<TrialId | undefined>;
    /** Gives a trial back that was not run; the content's next request may have it. */
    returnTrial(digest: ContentDigest, trial: TrialId): void;
    /** Time until a refused content may have a trial; 0 if it may have one now. */
    trialDueInMs(digest: ContentDigest, kind: TrialKind): number;
    /** True if a death counts against it. */
    isSuspect(digest: ContentDigest): boolean;
    /**
     * Whether `digest` must not join `others` on one sampler. Two suspects never run together: if they did and
     * the sampler died, the innocent one would have its second death.
     */
    mustRunApart(digest: ContentDigest, others: Iterable<ContentDigest>): boolean;
    /** Takes the shared document `quarantine` if its version is higher; true if taken. */
    offer(document: Pick<SharedDocument, "version" | "value">): boolean;
    /** Records that have not expired. */
    list(): QuarantineRecord[];
    /** Forgives a content its deaths so far. Resolves once durable; rejects while the object API is down. */
    lift(digest: ContentDigest): Promise<void>;
    /** Writes what is new, merged with what others wrote; resolves with the document, undefined if nothing was new. */
    publish(): Promise<SharedDocument | undefined>;
    /** Publishes whenever something is new, until `signal` is aborted; each document written goes to `onDocument`. */
    run(signal: AbortSignal, onDocument: (document: SharedDocument) => void): Promise<void>;
}
