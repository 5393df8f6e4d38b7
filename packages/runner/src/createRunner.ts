import { createLeaseKeeper } from "@auburnarch/lease/createLeaseKeeper";
import type { LeaseKeeper } from "@auburnarch/lease/LeaseKeeper";
import { createLotStore } from "@auburnarch/lots/createLotStore";
import type { LotStore } from "@auburnarch/lots/LotStore";
import { createRelay } from "@auburnarch/relay/createRelay";
import { findRoute } from "@auburnarch/routing/findRoute";
import type { Route } from "@auburnarch/routing/Route";
import { createAwakeGuard } from "./duties/createAwakeGuard.js";
import { createDutyHolder } from "./duties/createDutyHolder.js";
import type { Duty } from "./duties/Duty.js";
import type { HeldDuties } from "./duties/HeldDuties.js";
import { followRetirement } from "./followRetirement.js";
import { createItemDispatch } from "./items/createItemDispatch.js";
import { createSamplerEvidence } from "./items/createSamplerEvidence.js";
import { createScoreItem } from "./items/createScoreItem.js";
import { tokensPerEvent } from "./items/tokensPerEvent.js";
import { createLotBoard } from "./jobs/createLotBoard.js";
import { createLotRun } from "./jobs/createLotRun.js";
import { createLotSweeper } from "./jobs/createLotSweeper.js";
import { createSeenGroups } from "./jobs/createSeenGroups.js";
import type { LotBoard } from "./jobs/LotBoard.js";
import { chooseFeeder } from "./peers/chooseFeeder.js";
import { createPeerBook } from "./peers/createPeerBook.js";
import { createStoreCheck } from "./peers/createStoreCheck.js";
import { createStoreOutageMonitor } from "./peers/createStoreOutageMonitor.js";
import { createTimedProbe } from "./peers/createTimedProbe.js";
import type { PeerView } from "./peers/PeerView.js";
import { sentByPeers } from "./peers/sentByPeers.js";
import { createResultBook } from "./results/createResultBook.js";
import { createRivals } from "./results/createRivals.js";
import { endedEntry } from "./results/endedEntry.js";
import { holderOf } from "./results/holderOf.js";
import { isSoleWriter } from "./results/isSoleWriter.js";
import { readerOf } from "./results/readerOf.js";
import type { ResultBook } from "./results/ResultBook.js";
import type { Runner } from "./Runner.js";
import type { RunnerDeps } from "./RunnerDeps.js";
import { createUsageDuty } from "./usage/createUsageDuty.js";
import { createLoadRoller } from "./weights/createLoadRoller.js";

/** Without renewal another runner takes the orders over after this time; a renewal costs a call each third of it. */
const leaseTtlMs = 2_500;
/** An answer this old says nothing of the store any more. */
const storeHereMs = 600;
/**
 * What peers last said of the store is up to a probe old. Right after an outage each runner would believe that it alone
 * has the store back, and take over the jobs of all others.
 */
const regainedGraceMs = 1_000;

function createBook(deps: RunnerDeps, lots: LotStore, peers: () => PeerView[]): ResultBook {
    return createResultBook({
        lots,
        holderOf: lot => holderOf(lot, peers()),
        readerOf: lot => readerOf(lot, deps.name, peers()),
        endedEntry: lot => endedEntry(deps.entries, lot),
        isSoleWriter: lot => deps.storeSilentMs() === 0 && isSoleWriter(lot, peers()),
        clock: deps.clock,
    });
}

const createLeases = (deps: RunnerDeps): LeaseKeeper =>
    createLeaseKeeper({
        ...deps,
        random: deps.random.fork(),
        holder: deps.name,
        ttlMs: leaseTtlMs,
        resumesOwn: true,
    });

/** The usage duty is only there where the platform wants reports. */
function listDuties(deps: RunnerDeps): ((held: HeldDuties) => Duty)[] {
    const { name: self, usage } = deps;
    const loads = (held: HeldDuties): Duty =>
        createLoadRoller({ ...deps, self, mayOrder: held.mayAct, fencing: held.fencing });
    return usage === undefined
        ? [loads]
        : [loads, held => createUsageDuty({ ...deps, ...usage, self }, held)];
}

/** Puts a runner together and starts it. */
export function createRunner(deps: RunnerDeps): Runner {
    const { clock, random, logger, routing, directory } = deps;
    const lots = createLotStore(deps.store);
    const evidence = createSamplerEvidence(clock);
    const relay = createRelay({ ...deps, random: random.fork() });
    const scoreItem = createScoreItem({ relay, routing, clock, logger });
    const dispatch = createItemDispatch({
        ...deps,
        random: random.fork(),
        evidence,
        sentByPeers: sampler => sentByPeers(sampler, peers.peers()),
    });
    const leases = createLeases(deps);
    const awake = createAwakeGuard(clock, logger, leaseTtlMs / 2);
    const seenGroups = createSeenGroups();
    let isLeaving = false;

    const routeOf = (host: string, path: string): Route | undefined => {
        const table = routing();
        return table === undefined ? undefined : findRoute(table, host, path);
    };

    const book = createBook(deps, lots, () => peers.peers());
    const peers = createPeerBook({
        self: deps.name,
        registered: deps.registered,
        probe: createTimedProbe({
            ...deps,
            starts: deps.usage?.starts,
            wantsStarts: () => deps.usage !== undefined && duty.isHeld(),
        }),
        onChange: () => {
            book.noteRivals(rivals(peers.peers()));
            board.refresh();
        },
        clock,
        logger,
    });
    const outages = createStoreOutageMonitor({ ...deps, peers: peers.peers });
    const rivals = createRivals();
    const board: LotBoard = createLotBoard({
        ...deps,
        self: deps.name,
        peers,
        listPolicies: () => [...routing()?.services.values() ?? []].flatMap(({ policies }) => policies),
        holdsWeights: () => duty.isHeld(),
        mayStart: () => routing() !== undefined && directory.isKnown(),
        isStoreHere: () =>
            deps.storeSilentMs() === 0
            && deps.storeHeardMs() < storeHereMs
            && deps.storeRegainedMs() > regainedGraceMs,
        checkStore: createStoreCheck({ ...deps, ask: () => deps.store.read(deps.registration) }),
        startRun: (lot, entry) =>
            createLotRun({
                ...deps,
                lot,
                entry,
                lots,
                book,
                seenGroups,
                dispatcherFor: dispatch.dispatcherFor,
                register: dispatch.register,
                forget: dispatch.forget,
                scoreItem,
                shelf: deps.shelf,
                findRoute: routeOf,
                tokensPerEvent: source => tokensPerEvent(routing(), source),
                random: random.fork(),
            }),
        clock,
        logger,
    });
    const duty = createDutyHolder({
        leases,
        leaseTtlMs,
        isAwake: awake.isAwake,
        handOverMs: deps.orderHandOverMs,
        duties: listDuties(deps),
        clock,
        logger,
    });

    const sweeper = createLotSweeper({
        entries: deps.entries,
        lots,
        maySweep: () => duty.isHeld(),
        retentionMs: deps.lotRetentionMs,
        clock,
        logger,
    });

    async function handOver(): Promise<void> {
        isLeaving = true;
        const left = Promise.all([board.leave(), duty.stop()]);
        peers.poke();
        await left;
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
            running: board.running(),
            sent: evidence.allRunning(),
            keptLots: book.kept(),
            holdsWeights: duty.isHeld(),
            isLeaving,
            storeSilentMs: Math.round(deps.storeSilentMs()),
            wallMs: clock.wallMs(),
            ...(wantsStarts && deps.usage !== undefined ? { starts: deps.usage.starts.tell() } : {}),
        }),
        results: book.answer,
        feeder: avoided =>
            chooseFeeder(deps.name, !isLeaving && deps.storeSilentMs() === 0, peers.peers(), avoided),
        sinceOutageMs: outages.sinceOutageMs,
        leave: async limitMs => {
            sweeper.stop();
            retirement.stop();
            const left = handOver().then(() => dispatch.stop());
            const limit = new AbortController();
            await Promise.race([left, clock.sleep(limitMs, limit.signal)]);
            limit.abort();
            peers.stop();
            outages.stop();
        },
    };
}
