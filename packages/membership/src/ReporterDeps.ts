import type { DocumentTransfer } from "@auburnarch/documents/DocumentTransfer";
import type { Clock } from "@auburnarch/types/Clock";
import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { VmList } from "@auburnarch/types/VmList";
import type { MembershipTiming } from "./MembershipTiming.js";
import type { ReportMessage } from "./ReportMessage.js";

/** Dependencies of `createReporter`. */
export interface ReporterDeps {
    sampler: SamplerId;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Builds the current report, with a new sequence number. */
    report: () => SamplerReport;
    /** Versions of the documents that the sidecar follows; 0 for one it does not have. */
    digest: () => DocumentDigest;
    /** The named documents that this sidecar has, in full. */
    wholeDocuments: (names: string[]) => DocumentTransfer[];
    /** Receives the documents of an answer, to be applied if newer. */
    onDocuments: (documents: DocumentTransfer[]) => void;
    /** Called when the VM list marks this VM as leaving. */
    onLeaving: () => void;
    /** Read at start and while too few entries answer. */
    vmList: VmList;
    /** Addresses of entries in addition to those of the VM list. */
    seeds: string[];
    /** Sends a report to an entry and resolves with its answer; rejects without one. */
    exchange: (address: string, message: ReportMessage) => Promise<unknown>;
    timing?: Partial<MembershipTiming>;
}
