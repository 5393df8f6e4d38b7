import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { answerMessage } from "./answerMessage.js";
import { createDocumentSet } from "./createDocumentSet.js";
import { createPeerExchange } from "./createPeerExchange.js";
import { createRelay } from "./createRelay.js";
import { defaultDocumentSyncGuards } from "./defaultDocumentSyncGuards.js";
import { defaultDocumentSyncTiming } from "./defaultDocumentSyncTiming.js";
import type { DocumentSync } from "./DocumentSync.js";
import type { DocumentSyncDeps } from "./DocumentSyncDeps.js";
import type { DocumentSyncTiming } from "./DocumentSyncTiming.js";
import { drawSome } from "./drawSome.js";
import { parseMessage } from "./parseMessage.js";
import type { SyncMessage } from "./SyncMessage.js";
import { syncMessageSchema } from "./syncMessageSchema.js";

/**
 * Creates the document synchronization of one entry. A new change is pushed to a few peers, and a regular exchange
 * with a random peer recovers what was lost. Only a few relays watch the object API.
 */
export function createDocumentSync(deps: DocumentSyncDeps): DocumentSync {
    const timing: DocumentSyncTiming = { ...defaultDocumentSyncTiming, ...deps.timing };
    const listeners = new Set<(document: SharedDocument) => void>();
    const stopped = new AbortController();
    const documents = createDocumentSet(deps, deps.guards ?? defaultDocumentSyncGuards, onApplied);
    const exchangeWith = createPeerExchange(deps, documents, timing);
    /** Documents to push with the next message, each with the version that peers most likely have. */
    const pendingPushes = new Map<string, number>();
    const appliedVersions = new Map<string, number>();
    let hasCaughtUp = false;
    const relay = createRelay(deps, timing, offer, () => {
        hasCaughtUp = true;
    });

    function onApplied(document: SharedDocument): void {
        listeners.forEach(listener => listener(document));
        const { name, version } = document;
        // While catching up after start, a process receives only documents that its peers already have.
        if (hasCaughtUp) {
            schedulePush(name, appliedVersions.get(name) ?? 0);
        }
        appliedVersions.set(name, version);
    }

    /** Combines changes within `pushDelayMs`, so that a takeover of many key ranges is sent as one message. */
    function schedulePush(name: string, baseVersion: number): void {
        if (pendingPushes.size === 0) {
            deps.clock.startTimer(timing.pushDelayMs, push);
        }
        pendingPushes.set(name, pendingPushes.get(name) ?? baseVersion);
    }

    function push(): void {
        const transfers = [...pendingPushes].map(([name, baseVersion]) =>
            documents.transfer(name, baseVersion)
        );
        pendingPushes.clear();
        if (stopped.signal.aborted) {
            return;
        }
        const message: SyncMessage = {
            checksum: documents.checksum(),
            documents: transfers.filter(transfer => transfer !== undefined),
        };
        for (const peer of drawSome(deps.listPeers(), timing.pushFanOut, deps.random)) {
            void exchangeWith(peer.address, message);
        }
    }

    function offer(document: SharedDocument): boolean {
        return documents.apply(document) === "taken";
    }

    async function exchangeOnce(): Promise<void> {
        const [peer] = drawSome(deps.listPeers(), 1, deps.random);
        if (peer === undefined) {
            return;
        }
        if (await exchangeWith(peer.address, { checksum: documents.checksum(), documents: [] })) {
            hasCaughtUp = true;
        }
    }

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            // Not awaited, so that a slow peer does not delay the next exchange.
            void exchangeOnce();
            const jitter = 0.8 + 0.4 * deps.random.nextUnit();
            const intervalMs = hasCaughtUp ? timing.exchangeIntervalMs : timing.startIntervalMs;
            await deps.clock.sleep(intervalMs * jitter, stopped.signal);
        }
    }

    return {
        start: () => {
            relay.start();
            void run();
        },
        stop: () => {
            relay.stop();
            stopped.abort();
        },
        offer,
        get: documents.get,
        onChange: listener => {
            listeners.add(listener);
            return () => void listeners.delete(listener);
        },
        digest: documents.digest,
        transfersFor: theirs =>
            Object.entries(theirs)
                .filter(([name, version]) => (documents.get(name)?.version ?? 0) > version)
                .map(([name, version]) => documents.transfer(name, version)!),
        absentFrom: theirs =>
            Object.keys(theirs).filter(name =>
                hasCaughtUp && theirs[name]! > 0 && documents.get(name) === undefined
            ),
        applyAbsent: transfers => {
            transfers.filter(({ name }) => documents.get(name) === undefined).forEach(
                documents.applyTransfer,
            );
        },
        receive: message => answerMessage(documents, parseMessage<SyncMessage>(syncMessageSchema, message)),
        isCaughtUp: () => hasCaughtUp,
    };
}
