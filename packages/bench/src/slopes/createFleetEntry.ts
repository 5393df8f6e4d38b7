import { faultsOfDocument } from "@auburnarch/config/faultsOfDocument";
import { createDocumentSync } from "@auburnarch/documents/createDocumentSync";
import type { DocumentSync } from "@auburnarch/documents/DocumentSync";
import { createMembership } from "@auburnarch/membership/createMembership";
import type { Membership } from "@auburnarch/membership/Membership";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { FleetCommon } from "./FleetCommon.js";

/** The control components of an entry. */
interface FleetEntry {
    membership: Membership;
    documentSync: DocumentSync;
    manifestVersion(): number;
    stop(): void;
}

/** Starts the membership and the document sync of one entry. */
export function createFleetEntry(deps: FleetCommon & { self: EntryRecord; store: ObjectStore; }): FleetEntry {
    const { self, network } = deps;
    const from = { role: "entry" as const, region: self.region };
    const membership = createMembership({
        ...deps,
        seeds: [],
        exchange: (address, message) => network.call(from, address, "gossip", message),
        newerDocuments: theirs => documentSync.transfersFor(theirs),
        absentDocuments: theirs => documentSync.absentFrom(theirs),
        acceptDocuments: documents => documentSync.applyAbsent(documents),
    });
    const documentSync: DocumentSync = createDocumentSync({
        ...deps,
        listPeers: membership.listPeers,
        isRelay: membership.isRelay,
        exchange: (address, message) => network.call(from, address, "spread", message),
        faultsOf: faultsOfDocument,
    });
    network.listen(self.address, self.region, {
        gossip: membership.receiveGossip,
        spread: documentSync.receive,
        report: membership.receiveReport,
    });
    membership.start();
    documentSync.start();
    return {
        membership,
        documentSync,
        manifestVersion: () => documentSync.get("manifest")?.version ?? 0,
        stop: () => {
            membership.stop();
            documentSync.stop();
        },
    };
}
