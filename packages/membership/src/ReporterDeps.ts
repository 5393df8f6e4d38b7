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

/** What a reporter is built from. */
export interface ReporterDeps {
    sampler: SamplerId;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** The report as of now, with a new sequence. */
    report: () => SamplerReport;
    /** Versions of the documents that the sidecar follows; 0 for one it lacks. */
    digest: () => DocumentDigest;
    /** Those of the named documents that are held, whole. */
    wholeDocuments: (names: string[]) => DocumentTransfer[];
    /** Documents of an answer, to be taken if newer. */
    onDocuments: (documents: DocumentTransfer[]) => void;
    /** The VM list says that this VM is leaving. */
    onLeaving: () => void;
    /** Read at the start and while too few entries answer. */
    vmList: VmList;
    /** Entries beside those of the VM list. */
    seeds: string[];
    /** Sends a report to an entry and resolves with its answer; rejects if there is none. */
    exchange: (address: string, message: ReportMessage) => Promise<unknown>;
    timing?: Partial<MembershipTiming>;
}
