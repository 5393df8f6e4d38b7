import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { Clock } from "@auburnarch/types/Clock";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { isIsolated } from "../peers/isIsolated.js";
import type { PeerRegistry } from "../peers/PeerRegistry.js";
import type { BatchJobRegistry } from "./BatchJobRegistry.js";
import type { BatchJobRun } from "./BatchJobRun.js";
import { chooseOwner } from "./chooseOwner.js";
import { yieldsTo } from "./yieldsTo.js";

interface BatchJobRegistryDeps {
    self: string;
    failureDomain: FailureDomain;
    entries: WatchedKind<BatchJobEntry>;
    peers: PeerRegistry;
    /** False until the configuration and the samplers are known. */
    mayStart: () => boolean;
    /** All policies, in the order of the configuration. */
    listPolicies: () => PolicyId[];
    holdsWeights: () => boolean;
    /** The store has answered this process recently. */
    isStoreReachable: () => boolean;
    /** Sends a request to the store so that `isStoreReachable` is up to date. */
    probeStore: () => void;
    startRun: (batchJobId: BatchJobId, entry: BatchJobEntry) => BatchJobRun;
    clock: Clock;
    logger: Logger;
}

const tickMs = 200;

/** Decides which batch jobs run here: at each change of a batch job or peer, and several times a second. */
export function createBatchJobRegistry(deps: BatchJobRegistryDeps): BatchJobRegistry {
    const { clock, logger } = deps;
    const runs = new Map<BatchJobId, BatchJobRun>();
    const startedAtMs = new Map<BatchJobId, number>();
    const finished = new Set<BatchJobId>();
    let isLeaving = false;
    let isolatedSinceMs: number | undefined;

    function stopRun(batchJobId: BatchJobId, reason: string): void {
        const run = runs.get(batchJobId);
        runs.delete(batchJobId);
        startedAtMs.delete(batchJobId);
        logger.info("lotLeft", { lot: batchJobId, reason });
        void run?.stop(false);
    }

    function stopEndedRuns(entries: ReadonlyMap<string, BatchJobEntry>): void {
        for (const [batchJobId, run] of runs) {
            const entry = entries.get(batchJobId);
            if (entry === undefined || entry.isEnded) {
                stopRun(batchJobId, entry === undefined ? "removed" : "ended");
            }
            else if (run.isComplete()) {
                finished.add(batchJobId);
                stopRun(batchJobId, "complete");
            }
        }
        for (const batchJobId of finished) {
            if (!entries.has(batchJobId)) {
                finished.delete(batchJobId);
            }
        }
    }

    const runMsOf = (batchJobId: BatchJobId): number =>
        Math.round(clock.monotonicMs() - (startedAtMs.get(batchJobId) ?? 0));

    /**
     * After a crash, several runners that detect it at once and have not yet exchanged their latest batch jobs may
     * each start the same batch job.
     */
    function stopDuplicateRuns(): void {
        for (const { name, isAlive, status } of deps.peers.peers()) {
            if (!isAlive || status === undefined || status.isLeaving || status.storeSilentMs > 0) {
                continue;
            }
            for (const { lot, runMs } of status.running) {
                const own = { name: deps.self, runMs: runMsOf(lot) };
                if (runs.has(lot) && yieldsTo(own, { name, runMs })) {
                    stopRun(lot, `doubled by ${name}`);
                }
            }
        }
    }

    /** Called at each refresh: an isolation that ends while no batch job is open must not count as part of the next one. */
    function measureIsolation(): number {
        isolatedSinceMs = isIsolated(deps.peers.peers()) ? isolatedSinceMs ?? clock.monotonicMs() : undefined;
        return isolatedSinceMs === undefined ? 0 : clock.monotonicMs() - isolatedSinceMs;
    }

    /** A batch job stays open whatever its age: its client was told that it is accepted, and may still wait for it. */
    const isOpen = (batchJobId: BatchJobId, entry: BatchJobEntry): boolean =>
        !entry.isEnded && !runs.has(batchJobId) && !finished.has(batchJobId);

    function refresh(): void {
        const entries = deps.entries.objects();
        const isolatedMs = measureIsolation();
        if (entries === undefined || isLeaving) {
            return;
        }
        stopEndedRuns(entries);
        stopDuplicateRuns();
        if (!deps.mayStart() || !deps.peers.isSettled()) {
            return;
        }
        const peers = deps.peers.peers();
        if (peers.some(peer => (peer.status?.storeSilentMs ?? 0) > 0)) {
            deps.probeStore();
        }
        for (const [name, entry] of entries) {
            const batchJobId = name as BatchJobId;
            if (!isOpen(batchJobId, entry)) {
                continue;
            }
            const owner = chooseOwner({
                batchJobId,
                policy: entry.policy,
                policies: deps.listPolicies(),
                self: deps.self,
                failureDomain: deps.failureDomain,
                holdsWeights: deps.holdsWeights(),
                peers,
                isolatedMs,
                isStoreReachable: deps.isStoreReachable(),
            });
            if (owner === deps.self) {
                logger.info("lotTaken", {
                    lot: batchJobId,
                    total: entry.total,
                    ageMs: Math.round(clock.wallMs() - entry.submittedAtMs),
                });
                startedAtMs.set(batchJobId, clock.monotonicMs());
                runs.set(batchJobId, deps.startRun(batchJobId, entry));
            }
        }
    }

    function tick(): void {
        refresh();
        runs.forEach(run => run.saveTexts());
        cancelTick = clock.startTimer(tickMs, tick);
    }

    let cancelTick = clock.startTimer(tickMs, tick);
    deps.entries.onChange(refresh);
    return {
        running: () => [...runs.keys()].map(batchJobId => ({ lot: batchJobId, runMs: runMsOf(batchJobId) })),
        listRuns: () => [...runs].map(([lot, { listOpen, findText }]) => ({ lot, listOpen, findText })),
        isFinished: batchJobId => finished.has(batchJobId),
        refresh,
        leave: async () => {
            isLeaving = true;
            cancelTick();
            const leaving = [...runs.values()];
            runs.clear();
            await Promise.all(leaving.map(run => run.stop(true)));
        },
    };
}
