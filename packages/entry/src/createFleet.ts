import { faultsOfDocument } from "@auburnarch/config/faultsOfDocument";
import { createDocumentSync } from "@auburnarch/documents/createDocumentSync";
import { createMembership } from "@auburnarch/membership/createMembership";
import type { Logger } from "@auburnarch/types/Logger";
import { createManifestView } from "./createManifestView.js";
import { createSamplerViews } from "./createSamplerViews.js";
import type { EntryDeps } from "./EntryDeps.js";
import type { Fleet } from "./Fleet.js";
import type { MonitoredStore } from "./MonitoredStore.js";
import type { SamplerViewsDeps } from "./SamplerViewsDeps.js";

const exchangeTimeoutMs = 1_500;

/** Creates an entry's view of the fleet; nothing runs before `start`. */
export function createFleet(
    deps: EntryDeps,
    logger: Logger,
    { store, isReachable }: MonitoredStore,
    observer: Pick<SamplerViewsDeps, "recordCleanFinish" | "recordInterrupted" | "wrapSidecar">,
): Fleet {
    const { self, clock, random, callPeer } = deps;
    const membership = createMembership({
        self,
        clock,
        random: random.fork(),
        logger,
        vmList: deps.vmList,
        seeds: deps.seeds.filter(address => address !== self.address),
        exchange: (address, message) => callPeer(address, "gossip", message, exchangeTimeoutMs),
        newerDocuments: theirs => documentSync.transfersFor(theirs),
        absentDocuments: theirs => documentSync.absentFrom(theirs),
        acceptDocuments: documents => documentSync.applyAbsent(documents),
        timing: deps.timing,
    });
    const documentSync = createDocumentSync({
        clock,
        random: random.fork(),
        logger,
        invariants: deps.invariants,
        store,
        isStoreReachable: isReachable,
        listPeers: membership.listPeers,
        isRelay: membership.isRelay,
        exchange: (address, message) => callPeer(address, "spread", message, exchangeTimeoutMs),
        faultsOf: faultsOfDocument,
        guards: deps.guards?.spread,
    });
    return {
        membership,
        documentSync,
        manifest: createManifestView(documentSync.get),
        views: createSamplerViews({
            clock,
            listReports: membership.listReports,
            connect: deps.connectSidecar,
            recordSamplerContact: membership.recordSamplerContact,
            ...observer,
        }),
        listLiveEntries: () => {
            const others = membership.listEntries().filter(each => !each.suspected && !each.leaving);
            return [self.entry, ...others.map(each => each.record.entry)];
        },
        start: () => {
            membership.start();
            documentSync.start();
        },
        stop: () => {
            documentSync.stop();
            membership.stop();
        },
    };
}
