import { createRandom } from "@auburnarch/clock/createRandom";
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { FakeStoreControl } from "@auburnarch/fakes/FakeStoreControl";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createLogger } from "@auburnarch/log/createLogger";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import { createHash } from "node:crypto";
import { createEntry } from "../createEntry.js";
import { createForwardPlain } from "../createForwardPlain.js";
import { createPeerCall } from "../createPeerCall.js";
import type { EntryDeps } from "../EntryDeps.js";
import { serveEntry } from "../serveEntry.js";
import type { ServeEntryOptions } from "../ServeEntryOptions.js";
import { testManifest } from "./testManifest.js";

const tokens = {
    plume: "token of team plume",
    ridge: "token of team ridge",
    operator: "token of the operators",
    cluster: "token of the cluster",
    previousCluster: "token of the cluster until yesterday",
};
const digestOf = (token: string): string => createHash("sha256").update(token).digest("hex");
const self = { entry: "entry-1", vm: "vm-1", failureDomain: "Lugo", region: "norte" };
const pollMs = 50;

const tileSamplerReport = {
    report: {
        sampler: "tile-1",
        vm: "vm-tile-1",
        incarnation: "one",
        sequence: 1,
        address: "http://127.0.0.1:1",
        failureDomain: "Lugo",
        region: "norte",
        service: "tiles",
        state: "ready",
        served: [],
        running: 0,
        waiting: 0,
        limit: 100,
        tokensPerSecond: 0,
        maxBatch: 100,
        configVersion: 0,
        suspects: [],
    },
    digest: {},
    knownEntries: 1,
};

interface ServedEntry {
    port: number;
    tokens: typeof tokens;
    control: FakeStoreControl;
    lines: string[];
    /** Requests that reached the sampler of service `tiles`. */
    sent: PlainRequest[];
    callPeer: EntryDeps["callPeer"];
    /** Lets the sampler answer calls of `/held`. */
    release(): void;
    close(): Promise<void>;
}

/** Starts a real entry on a real socket, with a plain sampler that records its requests; resolves when it is ready. */
export async function createServedEntry(
    options: Partial<ServeEntryOptions> = {},
    groupStore?: GroupStore,
): Promise<ServedEntry> {
    const clock = createSystemClock();
    const random = createRandom(3);
    const { store, control } = createFakeObjectStore({ clock, random: random.fork() });
    const lines: string[] = [];
    const logger = createLogger(clock, line => lines.push(line));
    const sent: PlainRequest[] = [];
    let release = (): void => undefined;
    const held = new Promise<void>(resolve => {
        release = resolve;
    });
    const sampler = {
        callPlain: async (request: PlainRequest) => {
            sent.push(request);
            if (request.path === "/held") {
                await held;
            }
            const body = (async function*() {
                yield Buffer.from("whole");
            })();
            return { kind: "ran", answer: { status: 200, headers: {}, body } };
        },
    } as unknown as SidecarPort;
    const manifest = testManifest("served", { plume: digestOf(tokens.plume), ridge: digestOf(tokens.ridge) });
    const depsAt = (port: number): EntryDeps => ({
        self: { ...self, address: `http://127.0.0.1:${port}` } as EntryDeps["self"],
        clock,
        random: random.fork(),
        logger,
        metrics: createMetrics(),
        invariants: createInvariants(logger, () => undefined),
        store,
        vmList: async () => [],
        scoring: async () => 0,
        groupStore,
        cursorKey: "a cursor key that is long enough for it",
        seeds: [],
        leaseTtlMs: 5_000,
        connectSidecar: () => sampler,
        callPeer: createPeerCall(tokens.cluster),
        forwardPlain: createForwardPlain(tokens.cluster, clock),
        readManifestFile: async () => JSON.stringify(manifest),
    });
    const served = await serveEntry(port => createEntry(depsAt(port)), {
        host: "127.0.0.1",
        port: 0,
        clock,
        logger,
        clusterTokenDigest: digestOf(tokens.cluster),
        previousClusterTokenDigest: digestOf(tokens.previousCluster),
        operatorTokenDigest: digestOf(tokens.operator),
        requestTimeoutMs: 60_000,
        maxConnections: 100,
        ...options,
    });
    await served.entry.receive("report", tileSamplerReport);
    while (!served.entry.isReady()) {
        await clock.sleep(pollMs);
    }
    return {
        port: served.port,
        tokens,
        control,
        lines,
        sent,
        callPeer: createPeerCall(tokens.cluster),
        release: () => release(),
        close: async () => {
            release();
            await served.entry.shutdown(0);
            await served.close();
        },
    };
}
