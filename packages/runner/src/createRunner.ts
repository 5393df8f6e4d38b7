import type { BatchJobStore } from "@auburnarch/batches/BatchJobStore";
import { createBatchJobStore } from "@auburnarch/batches/createBatchJobStore";
import { createOpenGuard } from "@auburnarch/forwarding/createOpenGuard";
import { createRequestForwarder } from "@auburnarch/forwarding/createRequestForwarder";
import { createLeaseManager } from "@auburnarch/lease/createLeaseManager";
import type { LeaseManager } from "@auburnarch/lease/LeaseManager";
import { findRoute } from "@auburnarch/routing/findRoute";
import type { Route } from "@auburnarch/routing/Route";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { createTextCopies } from "./copies/createTextCopies.js";
import type { TextCopies } from "./copies/TextCopies.js";
import { createDutyHolder } from "./duties/createDutyHolder.js";
import { createPauseDetector } from "./duties/createPauseDetector.js";
import type { Duty } from "./duties/Duty.js";
import type { HeldDuties } from "./duties/HeldDuties.js";
import { followRetirement } from "./followRetirement.js";
import { createItemDispatch } from "./items/createItemDispatch.js";
import { createSamplerHealth } from "./items/createSamplerHealth.js";
import { createScoreItem } from "./items/createScoreItem.js";
import type { ItemDispatch } from "./items/ItemDispatch.js";
import type { SamplerHealth } from "./items/SamplerHealth.js";
import { tokensPerEvent } from "./items/tokensPerEvent.js";
import type { BatchJobRegistry } from "./jobs/BatchJobRegistry.js";
import { createBatchJobRegistry } from "./jobs/createBatchJobRegistry.js";
import { createBatchJobRun } from "./jobs/createBatchJobRun.js";
import { createBatchJobSweeper } from "./jobs/createBatchJobSweeper.js";
import { createSeenGroups } from "./jobs/createSeenGroups.js";
import { createLateness } from "./lateness/createLateness.js";
import { createStatusCheck } from "./lateness/createStatusCheck.js";
import type { Lateness } from "./lateness/Lateness.js";
import { chooseFeeder } from "./peers/chooseFeeder.js";
import { countPeerRuns } from "./peers/countPeerRuns.js";
import { createPeerRegistry } from "./peers/createPeerRegistry.js";
import { createStoreOutageMonitor } from "./peers/createStoreOutageMonitor.js";
import { createStoreProbe } from "./peers/createStoreProbe.js";
import { createTimedProbe } from "./peers/createTimedProbe.js";
import type { PeerRegistry } from "./peers/PeerRegistry.js";
import type { PeerView } from "./peers/PeerView.js";
import type { RunnerStatus } from "./peers/RunnerStatus.js";
import { chooseReader } from "./results/chooseReader.js";
import { createContestedBatchJobs } from "./results/createContestedBatchJobs.js";
import { createResultCache } from "./results/createResultCache.js";
import { findEndedEntry } from "./results/findEndedEntry.js";
import { findHolder } from "./results/findHolder.js";
import { isSoleWriter } from "./results/isSoleWriter.js";
import type { ResultCache } from "./results/ResultCache.js";
import type { Runner } from "./Runner.js";
import type { RunnerDeps } from "./RunnerDeps.js";
import { createUsageDuty } from "./usage/createUsageDuty.js";
import { createLoadScheduler } from "./weights/createLoadScheduler.js";

/**
 * After this time without a renewal another runner takes the lease over; renewal takes one call in each third of it.
 */
const leaseTtlMs = 2_500;
/** An older answer no longer shows that the store is reachable. */
const maxStoreAnswerAgeMs = 600;
/**
 * What peers last reported about the store is up to one probe interval old. Without this delay each runner would
 * conclude right after an outage that it alone can reach the store again, and take over the batch jobs of all others.
 */
const storeRecoveryGraceMs = 1_000;

function createRunnerResultCache(
    deps: RunnerDeps,
    store: BatchJobStore,
    peers: () => PeerView[],
): ResultCache {
    return createResultCache({
        store,
        findHolder: batchJobId => findHolder(batchJobId, peers()),
        chooseReader: batchJobId => chooseReader(batchJobId, deps.name, peers()),
        findEndedEntry: batchJobId => findEndedEntry(deps.entries, batchJobId),
        isSoleWriter: batchJobId => deps.storeSilentMs() === 0 && isSoleWriter(batchJobId, peers()),
        clock: deps.clock,
    });
}

const createLeases = (deps: RunnerDeps): LeaseManager =>
    createLeaseManager({
        ...deps,
        random: deps.random.fork(),
        holder: deps.name,
        ttlMs: leaseTtlMs,
        resumesOwnLeases: true,
    });

/** Lists the duties of a lease holder. Usage is reported only if the platform expects reports. */
function listDuties(
    deps: RunnerDeps,
    latenessMs: ((policy: PolicyId) => number) | undefined,
): ((held: HeldDuties) => Duty)[] {
    const { name: self, usage } = deps;
    const loads = (held: HeldDuties): Duty =>
        createLoadScheduler({ ...deps, self, mayOrder: held.mayAct, fencing: held.fencing, latenessMs });
    return usage === undefined
        ? [loads]
        : [loads, held => createUsageDuty({ ...deps, ...usage, self }, held)];
}

const createSweeper = (deps: RunnerDeps, store: BatchJobStore, maySweep: () => boolean) =>
    createBatchJobSweeper({ ...deps, store, maySweep, retentionMs: deps.batchJobRetentionMs });

function createCopies(
    deps: RunnerDeps,
    peers: PeerRegistry,
    batchJobs: BatchJobRegistry,
): TextCopies | undefined {
    const { copies } = deps;
    return copies === undefined ? undefined : createTextCopies({
        ...deps,
        self: deps.name,
        copies: copies.count,
        calls: copies.calls,
        peers: peers.peers,
        listRuns: batchJobs.listRuns,
        isFinished: batchJobs.isFinished,
    });
}

const describeStore = (deps: RunnerDeps): Pick<RunnerStatus, "storeSilentMs" | "storeReach"> => ({
    storeSilentMs: Math.round(deps.storeSilentMs()),
    storeReach: deps.storeReach(),
});

/** The store answered this process lately and has not just recovered from an outage. */
const isStoreReachable = (deps: RunnerDeps): boolean =>
    deps.storeSilentMs() === 0
    && deps.sinceStoreAnswerMs() < maxStoreAnswerAgeMs
    && deps.sinceStoreRecoveryMs() > storeRecoveryGraceMs;

type Probe = ReturnType<typeof createTimedProbe>;

/** Creates the probe of peers; it checks the state of steps that they share if this runner uses it. */
function createRunnerProbe(deps: RunnerDeps, holdsDuties: () => boolean): Probe {
    const probe = createTimedProbe({
        ...deps,
        starts: deps.usage?.starts,
        wantsStarts: () => deps.usage !== undefined && holdsDuties(),
    });
    const check = createStatusCheck(deps);
    return deps.prioritizesLateTrainers === true
        ? async (address, timeoutMs) => check(address, await probe(address, timeoutMs))
        : probe;
}

/** Creates the priority for steps of late trainers; undefined if it is disabled. */
const createRunnerLateness = (
    deps: RunnerDeps,
    samplerHealth: SamplerHealth,
    listItems: ItemDispatch["listItems"],
    peers: () => PeerView[],
): Lateness | undefined =>
    deps.prioritizesLateTrainers === true
        ? createLateness({ ...deps, samplerHealth, listItems, peers })
        : undefined;

/** Creates a runner and starts it. */
export function createRunner(deps: RunnerDeps): Runner {
    const { clock, random, logger, routing, directory } = deps;
    const batchJobStore = createBatchJobStore(deps.store);
    const samplerHealth = createSamplerHealth(clock);
    // A reward call belongs to its item, which is still owed whatever crashed under it.
    const forwardRequest = createRequestForwarder({
        ...deps,
        random: random.fork(),
        createGuard: createOpenGuard,
    });
    const scoreItem = createScoreItem({ forwardRequest, routing, clock, logger });
    const dispatch = createItemDispatch({
        ...deps,
        random: random.fork(),
        samplerHealth,
        countPeerRuns: sampler => countPeerRuns(sampler, peers.peers()),
        eventsPerSecond: sampler => (lateness ?? samplerHealth).eventsPerSecond(sampler),
        adjustRoom: (policy, sampler, use) => lateness?.adjustRoom(policy, sampler, use) ?? use.room,
    });
    const leases = createLeases(deps);
    const pauseDetector = createPauseDetector(clock, logger, leaseTtlMs / 2);
    const seenGroups = createSeenGroups();
    let isLeaving = false;

    const routeOf = (host: string, path: string): Route | undefined => {
        const table = routing();
        return table === undefined ? undefined : findRoute(table, host, path);
    };

    const resultCache = createRunnerResultCache(deps, batchJobStore, () => peers.peers());
    const peers = createPeerRegistry({
        self: deps.name,
        registered: deps.registered,
        probe: createRunnerProbe(deps, () => dutyHolder.isHeld()),
        onChange: () => {
            resultCache.markContested(contestedBatchJobs(peers.peers()));
            batchJobs.refresh();
        },
        clock,
        logger,
    });
    const lateness = createRunnerLateness(deps, samplerHealth, dispatch.listItems, peers.peers);
    const outages = createStoreOutageMonitor({ ...deps, peers: peers.peers });
    const contestedBatchJobs = createContestedBatchJobs();
    const batchJobs: BatchJobRegistry = createBatchJobRegistry({
        ...deps,
        self: deps.name,
        peers,
        listPolicies: () => [...routing()?.services.values() ?? []].flatMap(({ policies }) => policies),
        holdsWeights: () => dutyHolder.isHeld(),
        mayStart: () => routing() !== undefined && directory.isKnown(),
        isStoreReachable: () => isStoreReachable(deps),
        probeStore: createStoreProbe({ ...deps, readStore: () => deps.store.read(deps.registration) }),
        startRun: (batchJobId, entry) =>
            createBatchJobRun({
                ...deps,
                batchJobId,
                entry,
                batchJobStore,
                resultCache,
                seenGroups,
                dispatcherFor: dispatch.dispatcherFor,
                register: dispatch.register,
                unregister: dispatch.unregister,
                scoreItem,
                textCache: deps.textCache,
                collectTexts: textCopies?.collect,
                findRoute: routeOf,
                tokensPerEvent: source => tokensPerEvent(routing(), source),
                random: random.fork(),
            }),
        clock,
        logger,
    });
    const textCopies = createCopies(deps, peers, batchJobs);
    const dutyHolder = createDutyHolder({
        leases,
        leaseTtlMs,
        areClocksTrusted: pauseDetector.areClocksTrusted,
        handOverMs: deps.orderHandOverMs,
        duties: listDuties(deps, lateness?.latenessMs),
        clock,
        logger,
    });

    const sweeper = createSweeper(deps, batchJobStore, () => dutyHolder.isHeld());

    async function handOver(): Promise<void> {
        isLeaving = true;
        const handedOver = Promise.all([batchJobs.leave(), dutyHolder.stop()]);
        peers.probeNow();
        await handedOver;
    }

    const retirement = followRetirement({
        self: deps.name,
        requests: deps.retirements,
        report: deps.reportRetirement,
        handOver,
        clock,
        logger,
    });

    return {
        status: ({ wantsStarts }) => ({
            incarnation: deps.incarnation,
            failureDomain: deps.failureDomain,
            running: batchJobs.running(),
            sent: samplerHealth.allRunning(),
            keptLots: resultCache.listCached(),
            holdsWeights: dutyHolder.isHeld(),
            isLeaving,
            ...describeStore(deps),
            wallMs: clock.wallMs(),
            ...lateness?.status(),
            ...(wantsStarts && deps.usage !== undefined ? { starts: deps.usage.starts.reports() } : {}),
        }),
        results: resultCache.answer,
        ...(textCopies === undefined ? {} : { copies: textCopies }),
        feeder: avoided =>
            chooseFeeder(deps.name, !isLeaving && deps.storeReach().silentMs === 0, peers.peers(), avoided),
        sinceOutageMs: outages.sinceOutageMs,
        leave: async limitMs => {
            sweeper.stop();
            retirement.stop();
            const handedOver = handOver().then(() => dispatch.stop());
            const limit = new AbortController();
            await Promise.race([handedOver, clock.sleep(limitMs, limit.signal)]);
            limit.abort();
            peers.stop();
            textCopies?.stop();
            outages.stop();
        },
    };
}
