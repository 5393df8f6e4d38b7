import { createRandom } from "@auburnarch/clock/createRandom";
import { faultsOfDocument } from "@auburnarch/config/faultsOfDocument";
import { validateManifest } from "@auburnarch/config/validateManifest";
import { createDocumentSync } from "@auburnarch/documents/createDocumentSync";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { expect, test } from "vitest";
import { createManifestView } from "./createManifestView.js";
import { createSnapshotRestore } from "./createSnapshotRestore.js";
import type { Fleet } from "./Fleet.js";
import type { StartSnapshot } from "./StartSnapshot.js";
import { createTestContext } from "./testing/createTestContext.js";
import { testManifest } from "./testing/testManifest.js";

function documentOf(name: string, version: number): SharedDocument {
    const checked = validateManifest(
        testManifest(name, { plume: "1".repeat(64), ridge: "2".repeat(64) }),
    );
    return { name: "manifest", version, value: checked.kind === "valid" ? checked.manifest : checked.faults };
}

function createFixture(snapshot: StartSnapshot | undefined) {
    const context = createTestContext();
    const { clock, store, logger } = context;
    const saved: StartSnapshot[] = [];
    const documentSync = createDocumentSync({
        clock,
        random: createRandom(1),
        logger,
        invariants: createInvariants(logger, () => undefined),
        store,
        listPeers: () => [],
        isRelay: () => true,
        exchange: () => Promise.reject(new Error("no peer")),
        faultsOf: faultsOfDocument,
    });
    const fleet = {
        documentSync,
        membership: { listPeers: () => [{ address: "http://peer" }] },
    } as unknown as Fleet;
    const save = async (value: StartSnapshot): Promise<void> => void saved.push(value);
    const snapshotRestore = createSnapshotRestore({ fleet, clock, logger, snapshot, save });
    const manifest = createManifestView(documentSync.get);
    return {
        ...context,
        documentSync,
        snapshotRestore,
        saved,
        activeManifest: () => `${manifest()?.manifest.name} ${manifest()?.version}`,
        mayServeManifest: () => documentSync.isCaughtUp() || snapshotRestore.mayServeSnapshot(),
    };
}

test("an entry that restarts while the object API and every peer are down serves from its snapshot", async () => {
    // Guards against refusing all calls for the duration of the outage.
    const { clock, control, documentSync, snapshotRestore, activeManifest, mayServeManifest } = createFixture(
        {
            documents: [documentOf("kept", 7)],
            peers: [],
        },
    );
    control.setOutage(true);
    snapshotRestore.start();
    documentSync.start();
    await clock.advance(4_500);
    expect(mayServeManifest()).toBe(false);
    await clock.advance(1_000);
    expect(mayServeManifest()).toBe(true);
    expect(activeManifest()).toBe("kept 7");
});

test("a newer published manifest replaces that of the snapshot", async () => {
    // Guards against serving an outdated manifest.
    const { clock, store, documentSync, snapshotRestore, activeManifest, settle, saved } = createFixture({
        documents: [documentOf("kept", 1)],
        peers: [],
    });
    const write = async (name: string, version: number): Promise<unknown> =>
        settle(store.write("config/manifest", documentOf(name, 0).value, version as ObjectVersion));
    await write("other", 0);
    await write("newer", 1);
    snapshotRestore.start();
    documentSync.start();
    await clock.advance(6_000);
    expect(activeManifest()).toBe("newer 2");
    expect(documentSync.offer(documentOf("kept", 1))).toBe(false);
    expect(saved.at(-1)).toMatchObject({ documents: [{ version: 2 }], peers: ["http://peer"] });
});

test("an invalid manifest in a snapshot is not used, and without a snapshot nothing is served early", async () => {
    const broken = { ...documentOf("kept", 7), value: { name: "kept", teams: "none" } };
    for (const snapshot of [{ documents: [broken], peers: [] }, undefined]) {
        const { clock, control, snapshotRestore, activeManifest, mayServeManifest } = createFixture(snapshot);
        control.setOutage(true);
        snapshotRestore.start();
        await clock.advance(10_000);
        expect(activeManifest()).toBe("undefined undefined");
        expect(mayServeManifest()).toBe(snapshot !== undefined);
    }
});
