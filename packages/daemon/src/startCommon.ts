import { createRoutingView } from "@auburnarch/discovery/createRoutingView";
import { createSamplerDirectory } from "@auburnarch/discovery/createSamplerDirectory";
import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { watchKind } from "@auburnarch/discovery/watchKind";
import { createFeedBackedStore } from "@auburnarch/feeds/createFeedBackedStore";
import { createOutageTracker } from "@auburnarch/feeds/createOutageTracker";
import { createRunnerCaller } from "@auburnarch/feeds/createRunnerCaller";
import type { FeedHub } from "@auburnarch/feeds/FeedHub";
import type { RunnerCaller } from "@auburnarch/feeds/RunnerCaller";
import type { StoreReach } from "@auburnarch/feeds/StoreReach";
import type { BreakRegistry } from "@auburnarch/forwarding/BreakRegistry";
import type { CallSampler } from "@auburnarch/forwarding/CallSampler";
import type { ContentTrials } from "@auburnarch/forwarding/ContentTrials";
import { createContentTrials } from "@auburnarch/forwarding/createContentTrials";
import { createCallSampler } from "@auburnarch/platform/createCallSampler";
import { createPlatformStore } from "@auburnarch/platform/createPlatformStore";
import { createSamplerAgents } from "@auburnarch/platform/createSamplerAgents";
import { decodeConfiguration } from "@auburnarch/platform/decodeConfiguration";
import { decodeSampler } from "@auburnarch/platform/decodeSampler";
import { platformKinds } from "@auburnarch/platform/platformKinds";
import { splitAddress } from "@auburnarch/platform/splitAddress";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import { createFeedExtras } from "./createFeedExtras.js";
import { createRunnerClient } from "./createRunnerClient.js";
import { createStoreAccess } from "./createStoreAccess.js";
import { createStoreHealth } from "./createStoreHealth.js";
import type { FeedExtras } from "./FeedExtras.js";
import { restoreTrials } from "./restoreTrials.js";
import type { RoleContext } from "./RoleContext.js";
import { watchRunners } from "./watchRunners.js";

interface Common {
    /** Sets the status of a platform object. */
    writeStatus: (key: string, value: unknown) => Promise<void>;
    /** The store; lists and watches are answered by the runner that follows the store for all processes. */
    store: ObjectStore;
    /** The same store without the feed: every call goes to the store itself. */
    directStore: ObjectStore;
    runners: WatchedKind<RunnerAddress>;
    runnerClient: ReturnType<typeof createRunnerClient>;
    caller: RunnerCaller;
    /** State that is exchanged with other processes along with changes of the store. */
    extras: FeedExtras;
    /** Contents of requests whose attempts broke off at samplers, as exchanged between processes. */
    breaks: BreakRegistry;
    /** Attempts of contents that may crash samplers, granted to one process at a time. */
    trials: ContentTrials;
    /** Whether this process knows from the store what earlier processes knew of such contents. */
    hasRestoredTrials: () => boolean;
    /** Milliseconds since the store could last be used, by own calls or through a peer; 0 while it can. */
    storeSilentMs: () => number;
    /** How this process reaches the store by its own calls. */
    storeReach: () => StoreReach;
    /** Milliseconds since the store last answered, directly or through a peer. */
    sinceStoreAnswerMs: () => number;
    /** The same by own calls only. */
    sinceDirectAnswerMs: () => number;
    sinceStoreRecoveryMs: () => number;
    tables: WatchedKind<RoutingTable>;
    routing: RoutingView;
    directory: SamplerDirectory;
    callSampler: CallSampler;
    agentFor: ReturnType<typeof createSamplerAgents>;
}

/**
 * Changes of samplers within this time are read with one call (each load of weights is such a change). Gateways and
 * idle runners only need to know within two seconds which samplers are draining; busy runners wait for loads to finish.
 */
const idleCoalesceMs = 300;
const busyCoalesceMs = 50;
/**
 * Interval of probes in a process whose store calls may go through a peer. Together with `suspectAfterMs`, a silent loss
 * of the store is noticed within about half a second.
 */
const relayingProbeIntervalMs = 250;

/**
 * Starts the parts that gateways and runners share: the store, the configuration and the samplers. `isBusy` returns
 * true while runs or loads of this process depend on the weights that samplers serve. `idleProbeIntervalMs` is the
 * interval of probes while the store is not used, by default the same as while it is used. `hubHolder` contains the hub
 * of a runner once it is created.
 */
export function startCommon(
    context: RoleContext,
    isBusy: () => boolean,
    idleProbeIntervalMs: number | undefined,
    hubRef: { hub?: FeedHub; } = {},
): Common {
    const { clock, random, logger, metrics } = context;
    const address = (): { host: string; port: number; } =>
        splitAddress(context.currentSettings().storeAddress)!;
    const platformStore = createPlatformStore({
        address,
        clock,
        onUnreadable: ({ kind, name, revision, fault }) => {
            logger.warn("objectUnreadable", { kind, object: name, revision, fault });
            metrics.count("store_objects_unreadable_total", { kind });
        },
    });
    const health = createStoreHealth(
        platformStore,
        platformStore.touch,
        clock,
        metrics,
        logger,
        idleProbeIntervalMs,
        context.settings.relaysStoreCalls ? relayingProbeIntervalMs : undefined,
    );
    const extras = createFeedExtras(context);
    const runnerClient = createRunnerClient(clock, extras);
    const runnersRef: { runners?: WatchedKind<RunnerAddress>; } = {};
    const caller = createRunnerCaller({
        self: context.settings.name,
        // The runners are watched through this caller; until they are known, calls go to the store itself.
        runners: () => runnersRef.runners?.objects(),
        clock,
        logger,
    });
    const access = createStoreAccess({
        context,
        health,
        runnerClient,
        runners: () => runnersRef.runners?.objects(),
    });
    const outages = createOutageTracker({
        storeSilentMs: health.silentMs,
        sinceStoreRecoveryMs: health.sinceRecoveryMs,
        clock,
    });
    const store = createFeedBackedStore({
        self: context.settings.name,
        waitForStore: health.waitForStore,
        inner: access.store,
        hub: () => hubRef.hub,
        caller,
        send: runnerClient.feed,
        outages,
        clock,
    });
    const watched = { store, clock, logger };
    const runners = watchRunners(watched);
    runnersRef.runners = runners;
    const decodeTable = (_name: string, value: unknown): RoutingTable | undefined =>
        decodeConfiguration(value);
    const tables = watchKind({ ...watched, kind: platformKinds.configuration, decode: decodeTable });
    const samplers = watchKind({
        ...watched,
        kind: platformKinds.samplers,
        decode: decodeSampler,
        coalesceMs: () => isBusy() ? busyCoalesceMs : idleCoalesceMs,
    });
    const agentFor = createSamplerAgents();
    const { breaks } = extras;
    const trials = createContentTrials({ store: access.store, breaks, clock, random: random.fork(), logger });
    return {
        writeStatus: platformStore.writeStatus,
        store,
        directStore: health.store,
        runners,
        runnerClient,
        caller,
        extras,
        breaks,
        trials,
        hasRestoredTrials: restoreTrials({ trials, clock, logger }),
        storeSilentMs: access.silentMs,
        storeReach: access.reach,
        sinceStoreAnswerMs: access.sinceAnswerMs,
        sinceDirectAnswerMs: health.sinceAnswerMs,
        sinceStoreRecoveryMs: health.sinceRecoveryMs,
        tables,
        routing: createRoutingView(tables, logger),
        directory: createSamplerDirectory({
            entries: samplers,
            sinceOutageMs: outages.sinceOutageMs,
            clock,
            logger,
        }),
        callSampler: createCallSampler(clock, agentFor),
        agentFor,
    };
}
