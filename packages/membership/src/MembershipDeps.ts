import type { DocumentTransfer } from "@auburnarch/documents/DocumentTransfer";
import type { Clock } from "@auburnarch/types/Clock";
import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { VmList } from "@auburnarch/types/VmList";
import type { GossipMessage } from "./GossipMessage.js";
import type { MembershipTiming } from "./MembershipTiming.js";

/** What membership is built from. */
export interface MembershipDeps {
    self: EntryRecord;
    clock: Clock;
    random: Random;
    logger: Logger;
    vmList: VmList;
    /** Addresses of entries to ask first, beside those of the VM list. */
    seeds: string[];
    /** Sends a message to an entry and resolves with its answer; rejects if there is none. */
    exchange: (address: string, message: GossipMessage) => Promise<unknown>;
    /** Documents newer than a sidecar's. */
    newerDocuments: (theirs: DocumentDigest) => DocumentTransfer[];
    /** Names of the documents of `theirs` of which this entry has no version. */
    absentDocuments: (theirs: DocumentDigest) => string[];
    /** Documents that a sidecar sent because they are absent here. */
    acceptDocuments: (documents: DocumentTransfer[]) => void;
    timing?: Partial<MembershipTiming>;
}
