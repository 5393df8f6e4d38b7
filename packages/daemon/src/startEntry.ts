import type { Settings } from "@auburnarch/config/Settings";
import { createEntry } from "@auburnarch/entry/createEntry";
import { createForwardPlain } from "@auburnarch/entry/createForwardPlain";
import { createPeerCall } from "@auburnarch/entry/createPeerCall";
import type { EntryDeps } from "@auburnarch/entry/EntryDeps";
import { serveEntry } from "@auburnarch/entry/serveEntry";
import { createFileGroupStore } from "@auburnarch/persistence/createFileGroupStore";
import { createBudgetedStore } from "@auburnarch/store/createBudgetedStore";
import { createHttpObjectStore } from "@auburnarch/store/createHttpObjectStore";
import { createHttpScoring } from "@auburnarch/store/createHttpScoring";
import { createHttpVmList } from "@auburnarch/store/createHttpVmList";
import { createHttpSidecar } from "@auburnarch/transport/createHttpSidecar";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import type { Logger } from "@auburnarch/types/Logger";
import type { Region } from "@auburnarch/types/Region";
import type { VmId } from "@auburnarch/types/VmId";
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { addressOf } from "./addressOf.js";
import { createTelemetry } from "./createTelemetry.js";
import { digestClusterTokens } from "./digestClusterTokens.js";
import { digestToken } from "./digestToken.js";
import { openStartSnapshot } from "./openStartSnapshot.js";
import { openTrust } from "./openTrust.js";
import type { ProcessContext } from "./ProcessContext.js";
import type { RunningProcess } from "./RunningProcess.js";

/**
 * Limits that protect the store from bursts of one entry, well above its steady rate: a single entry renews 32 key
 * ranges with 10 writes per second. docs/CAPACITY.md lists the rates of the whole fleet.
 */
const writesPerSecond = 40;
const readsPerSecond = 100;
const requestTimeoutMs = 60_000;
const maxConnections = 4_096;

function openGroupStore(
    settings: Settings,
    context: ProcessContext,
    logger: Logger,
): Promise<GroupStore> | undefined {
    if (settings.dataFolder === undefined) {
        return undefined;
    }
    return createFileGroupStore(join(settings.dataFolder, "groups"), { clock: context.clock, logger });
}

/** Starts an entry from validated settings and resolves once it listens. */
export async function startEntry(settings: Settings, context: ProcessContext): Promise<RunningProcess> {
    const { clock, random } = context;
    const { logger, metrics, invariants } = createTelemetry(settings, context);
    const store = createBudgetedStore(createHttpObjectStore(settings.objectApiUrl), {
        clock,
        random: random.fork(),
        readsPerSecond,
        writesPerSecond,
    });
    const groupStore = await openGroupStore(settings, context, logger);
    const { snapshot, save } = await openStartSnapshot(settings.dataFolder, logger);
    const trust = await openTrust(settings, { clock, logger });
    const createSecureAgent = trust?.createAgent;
    const addressAt = (port: number): string => addressOf(settings, port);
    const { manifestPath } = settings;

    const depsAt = (port: number): EntryDeps => ({
        self: {
            entry: settings.name as EntryId,
            vm: settings.vm as VmId,
            address: addressAt(port),
            failureDomain: settings.failureDomain as FailureDomain,
            region: settings.region as Region,
        },
        clock,
        random: random.fork(),
        logger,
        metrics,
        invariants,
        store,
        vmList: createHttpVmList(settings.vmListUrl),
        scoring: createHttpScoring(settings.scoringUrl!),
        groupStore,
        cursorKey: settings.cursorKey!,
        seeds: [...settings.seeds, ...snapshot?.peers ?? []],
        startSnapshot: snapshot,
        saveSnapshot: save,
        leaseTtlMs: settings.leaseTtlMs,
        connectSidecar: ({ address }) =>
            createHttpSidecar({ address, clock, clusterToken: settings.clusterToken, createSecureAgent }),
        callPeer: createPeerCall(settings.clusterToken, createSecureAgent),
        forwardPlain: createForwardPlain(settings.clusterToken, clock, createSecureAgent),
        readManifestFile: manifestPath === undefined ? undefined : () => readFile(manifestPath, "utf8"),
        timing: { vmListIntervalMs: settings.vmListIntervalMs },
    });

    const served = await serveEntry(port => createEntry(depsAt(port)), {
        host: settings.listenHost,
        port: settings.listenPort,
        clock,
        logger,
        createServer: trust?.createServer,
        isPeer: trust?.isPeer,
        ...digestClusterTokens(settings),
        operatorTokenDigest: settings.operatorToken === undefined ? "" : digestToken(settings.operatorToken),
        requestTimeoutMs,
        maxConnections,
    });
    return {
        name: settings.name,
        address: addressAt(served.port),
        shutdown: async () => {
            await served.entry.shutdown(settings.shutdownDeadlineMs);
            await served.close();
            trust?.stop();
        },
    };
}
