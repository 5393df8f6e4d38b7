import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Clock } from "@auburnarch/types/Clock";
import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Random } from "@auburnarch/types/Random";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { DocumentSyncGuards } from "./DocumentSyncGuards.js";
import type { DocumentSyncTiming } from "./DocumentSyncTiming.js";
import type { PeerAddress } from "./PeerAddress.js";
import type { SyncMessage } from "./SyncMessage.js";

/** What spreading is built from. */
export interface DocumentSyncDeps {
    clock: Clock;
    random: Random;
    logger: Logger;
    invariants: Invariants;
    store: ObjectStore;
    /** Whether the object API answered the latest call of this process; unknown by default. */
    isStoreReachable?: () => boolean;
    /** Entries believed alive, without this one. */
    listPeers: () => PeerAddress[];
    /** True while this process is one of the few that watch the object API. */
    isRelay: () => boolean;
    /** Sends a message to a peer and resolves with its answer; rejects if there is none. */
    exchange: (address: string, message: SyncMessage) => Promise<unknown>;
    /** Faults of a document's value; a document with any is never taken. */
    faultsOf: (document: SharedDocument) => ConfigFault[];
    guards?: DocumentSyncGuards;
    timing?: Partial<DocumentSyncTiming>;
}
