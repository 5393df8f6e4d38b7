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

/** Dependencies of `createDocumentSync`. */
export interface DocumentSyncDeps {
    clock: Clock;
    random: Random;
    logger: Logger;
    invariants: Invariants;
    store: ObjectStore;
    /** Whether the object API answered this process's latest call; unknown by default. */
    isStoreReachable?: () => boolean;
    /** Other entries that are believed to be alive. */
    listPeers: () => PeerAddress[];
    /** True while this process is one of the relays that watch the object API. */
    isRelay: () => boolean;
    /** Sends a message to a peer and resolves with its answer; rejects without one. */
    exchange: (address: string, message: SyncMessage) => Promise<unknown>;
    /** Faults of a document's value; a document with faults is never applied. */
    faultsOf: (document: SharedDocument) => ConfigFault[];
    guards?: DocumentSyncGuards;
    timing?: Partial<DocumentSyncTiming>;
}
