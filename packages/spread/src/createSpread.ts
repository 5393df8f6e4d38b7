import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { answerMessage } from "./answerMessage.js";
import { createDocumentSet } from "./createDocumentSet.js";
import { createExchanger } from "./createExchanger.js";
import { createRelay } from "./createRelay.js";
import { defaultSpreadGuards } from "./defaultSpreadGuards.js";
import { defaultSpreadTiming } from "./defaultSpreadTiming.js";
import { drawSome } from "./drawSome.js";
import { parseWith } from "./parseWith.js";
import type { Spread } from "./Spread.js";
import type { SpreadDeps } from "./SpreadDeps.js";
import type { SpreadMessage } from "./SpreadMessage.js";
import { spreadMessageSchema } from "./spreadMessageSchema.js";
import type { SpreadTiming } from "./SpreadTiming.js";

/**
 * Makes the spreading of documents in one entry: a fresh change goes at once to a few peers, and an exchange with
 * a random peer every second or so brings what was lost. A few relays watch the object API for all.
 */
export function createSpread(deps: SpreadDeps): Spread {
    const timing: SpreadTiming = { ...defaultSpreadTiming, ...deps.timing };
    const listeners = new Set<(document: SharedDocument) => void>();
    const stopped = new AbortController();
    const documents = createDocumentSet(deps, deps.guards ?? defaultSpreadGuards, onTaken);
    const exchangeWith = createExchanger(deps, documents, timing);
    /** Documents to push with the next message, with the version that peers most likely have. */
    const toPush = new Map<string, number>();
    const heldVersions = new Map<string, number>();
    let caughtUp = false;
    const relay = createRelay(deps, timing, offer, () => {
        caughtUp = true;
    });

    function onTaken(document: SharedDocument): void {
        listeners.forEach(listener => listener(document));
        const { name, version } = document;
        // What a starting process catches up with is no news to its peers.
        if (caughtUp) {
            schedulePush(name, heldVersions.get(name) ?? 0);
        }
        heldVersions.set(name, version);
    }

    /** Changes that come within a moment go out together: a takeover of many key ranges is one message, not many. */
    function schedulePush(name: string, baseVersion: number): void {
        if (toPush.size === 0) {
            deps.clock.startTimer(timing.pushDelayMs, push);
        }
        toPush.set(name, toPush.get(name) ?? baseVersion);
    }

    function push(): void {
        const transfers = [...toPush].map(([name, baseVersion]) => documents.transfer(name, baseVersion));
        toPush.clear();
        if (stopped.signal.aborted) {
            return;
        }
        const message: SpreadMessage = {
            checksum: documents.checksum(),
            documents: transfers.filter(transfer => transfer !== undefined),
        };
        for (const peer of drawSome(deps.listPeers(), timing.pushFanOut, deps.random)) {
            void exchangeWith(peer.address, message);
        }
    }

    function offer(document: SharedDocument): boolean {
        return documents.take(document) === "taken";
    }

    async function exchangeOnce(): Promise<void> {
        const [peer] = drawSome(deps.listPeers(), 1, deps.random);
        if (peer === undefined) {
            return;
        }
        if (await exchangeWith(peer.address, { checksum: documents.checksum(), documents: [] })) {
            caughtUp = true;
        }
    }

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            // Not awaited: a slow peer does not delay the exchange with the next one.
            void exchangeOnce();
            const spread = 0.8 + 0.4 * deps.random.nextUnit();
            const intervalMs = caughtUp ? timing.exchangeIntervalMs : timing.startIntervalMs;
            await deps.clock.sleep(intervalMs * spread, stopped.signal);
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
                caughtUp && theirs[name]! > 0 && documents.get(name) === undefined
            ),
        takeAbsent: transfers => {
            transfers.filter(({ name }) => documents.get(name) === undefined).forEach(documents.takeTransfer);
        },
        receive: message => answerMessage(documents, parseWith<SpreadMessage>(spreadMessageSchema, message)),
        isCaughtUp: () => caughtUp,
    };
}
