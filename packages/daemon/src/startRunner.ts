import { batchJobKinds } from "@auburnarch/batches/batchJobKinds";
import { batchJobSchemas } from "@auburnarch/batches/batchJobSchemas";
import { watchKind } from "@auburnarch/discovery/watchKind";
import { createFeedHub } from "@auburnarch/feeds/createFeedHub";
import { createStoreCallHandler } from "@auburnarch/feeds/createStoreCallHandler";
import type { FeedHub } from "@auburnarch/feeds/FeedHub";
import { createEngineOrders } from "@auburnarch/platform/createEngineOrders";
import { decodeNamedVersion } from "@auburnarch/platform/decodeNamedVersion";
import { decodeRetirement } from "@auburnarch/platform/decodeRetirement";
import { platformKinds } from "@auburnarch/platform/platformKinds";
import { readItemEvents } from "@auburnarch/platform/readItemEvents";
import { createRunner } from "@auburnarch/runner/createRunner";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import { createInternalCallHandler } from "./createInternalCallHandler.js";
import { createRelayRecorder } from "./createRelayRecorder.js";
import { createUsageDeps } from "./createUsageDeps.js";
import { decodeWith } from "./decodeWith.js";
import { isRelayableKey } from "./isRelayableKey.js";
import { openTextCache } from "./openTextCache.js";
import { registerRunner } from "./registerRunner.js";
import type { RoleContext } from "./RoleContext.js";
import { runnersKind } from "./runnersKind.js";
import type { RunningRole } from "./RunningRole.js";
import { serveInternal } from "./serveInternal.js";
import { slowWaitMs } from "./slowWaitMs.js";
import { startCommon } from "./startCommon.js";

/** Each load of weights changes the sampler's entry; loads of the same version finish at about the same time. */
const samplerCoalesceMs = 100;
/** Kinds whose changes may be noticed some seconds late after a silent connection failure. */
const slowPrefixes: ReadonlySet<string> = new Set([`${platformKinds.retirements}/`, `${runnersKind}/`]);
/** Part of the grace period that remains when the hand-over times out. */
const exitSlackMs = 1_500;

/** Starts a runner and resolves once it listens for calls of its peers. */
export async function startRunner(context: RoleContext): Promise<RunningRole> {
    const { settings, clock, random, logger } = context;
    let isBusy = (): boolean => false;
    const hubRef: { hub?: FeedHub; } = {};
    const common = startCommon(context, () => isBusy(), undefined, hubRef);
    const { store } = common;
    const watched = { store, clock, logger };
    const registration = `${runnersKind}/${settings.name}`;
    const recordRelayed = createRelayRecorder(context);
    const { textCache, flush } = await openTextCache(context);
    const internal = await serveInternal(
        context,
        createInternalCallHandler({
            runner: () => runner,
            hub: () => hub,
            extras: common.extras,
            relayed: settings.relaysStoreCalls
                ? createStoreCallHandler({
                    direct: common.directStore,
                    isRelayable: isRelayableKey,
                    record: (call, result, tookMs) => recordRelayed(settings.name, call, result, tookMs),
                    clock,
                })
                : undefined,
        }),
    );
    const runner = createRunner({
        ...common,
        ...context,
        name: settings.name,
        registration,
        incarnation: random.nextId(),
        failureDomain: settings.failureDomain as FailureDomain,
        entries: watchKind({
            ...watched,
            kind: batchJobKinds.entries,
            decode: decodeWith(batchJobSchemas.entry),
        }),
        registered: common.runners,
        watchVersions: () =>
            watchKind({
                ...watched,
                kind: platformKinds.namedVersions,
                decode: (_name, value) => decodeNamedVersion(value),
            }),
        retirements: watchKind({
            ...watched,
            kind: platformKinds.retirements,
            waitMs: slowWaitMs,
            decode: (_name, value) => decodeRetirement(value),
        }),
        reportRetirement: state =>
            common.writeStatus(`${platformKinds.retirements}/${settings.name}`, { state }),
        textCache,
        copies: settings.textCopies === 0
            ? undefined
            : { count: settings.textCopies, calls: common.runnerClient },
        readEvents: readItemEvents,
        orders: createEngineOrders(clock, common.agentFor),
        probe: common.runnerClient.status,
        usage: createUsageDeps(context, common.extras.starts),
        trueTime: common.extras.trueTime,
        orderHandOverMs: settings.orderHandOverMs,
        batchJobRetentionMs: settings.lotRetentionMs,
        maxLoading: settings.maxLoadingSamplers,
        prioritizesLateTrainers: settings.prioritizesLateTrainers,
    });
    const hub = createFeedHub({
        self: settings.name,
        feeder: runner.feeder,
        store: common.directStore,
        coalesceMsOf: prefix => prefix === `${platformKinds.samplers}/` ? samplerCoalesceMs : 0,
        waitMsOf: prefix => slowPrefixes.has(prefix) ? slowWaitMs : undefined,
        sinceStoreAnswerMs: common.sinceDirectAnswerMs,
        sinceOutageMs: runner.sinceOutageMs,
        clock,
        logger,
    });
    hubRef.hub = hub;
    isBusy = () => {
        const { running, holdsWeights } = runner.status({ wantsStarts: false });
        return running.length > 0 || holdsWeights;
    };
    const registered = registerRunner({
        store,
        clock,
        logger,
        key: registration,
        address: { host: settings.internalHost, port: internal.port },
    });
    return {
        shutdown: async () => {
            registered.stop();
            await runner.leave(settings.gracePeriodMs - exitSlackMs);
            hub.stop();
            await flush();
            internal.close();
        },
    };
}
