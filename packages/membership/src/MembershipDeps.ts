import type { DocumentTransfer } from "@auburnarch/documents/DocumentTransfer";
import type { Clock } from "@auburnarch/types/Clock";
import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { VmList } from "@auburnarch/types/VmList";
import type { GossipMessage } from "./GossipMessage.js";
import type { MembershipTiming } from "./MembershipTiming.js";

/** Dependencies of `createMembership`. */
export interface MembershipDeps {
    self: EntryRecord;
    clock: Clock;
    random: Random;
    logger: Logger;
    vmList: VmList;
    /** Addresses of entries to contact first, in addition to those of the VM list. */
    seeds: string[];
    /** Sends a message to an entry and resolves with its answer; rejects without one. */
    exchange: (address: string, message: GossipMessage) => Promise<unknown>;
    /** Documents that are newer here than the versions in a sidecar's digest. */
    newerDocuments: (theirs: DocumentDigest) => DocumentTransfer[];
    /** Names of documents in `theirs` of which this entry has no version. */
    absentDocuments: (theirs: DocumentDigest) => string[];
    /** Applies documents that a sidecar sent because this entry has none. */
    acceptDocuments: (documents: DocumentTransfer[]) => void;
    timing?: Partial<MembershipTiming>;
}
