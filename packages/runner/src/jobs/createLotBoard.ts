import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { LotEntry } from "@auburnarch/lots/LotEntry";
import type { LotId } from "@auburnarch/lots/LotId";
import type { Clock } from "@auburnarch/types/Clock";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { PeerBook } from "../peers/PeerBook.js";
import { chooseOwner } from "./chooseOwner.js";
import { givesWay } from "./givesWay.js";
import type { LotBoard } from "./LotBoard.js";
import type { LotRun } from "./LotRun.js";

interface LotBoardDeps {
    self: string;
    failureDomain: FailureDomain;
    entries: WatchedKind<LotEntry>;
    peers: PeerBook;
    /** False until configuration and samplers are known. */
    mayStart: () => boolean;
    /** All policies of the configuration, in its order. */
    listPolicies: () => PolicyId[];
    holdsWeights: () => boolean;
    /** The store has answered this process just now. */
    isStoreHere: () => boolean;
    /** Asks the store for a sign of life, so that `isStoreHere` tells the present. */
    checkStore: () => void;
    startRun: (lot: LotId, entry: LotEntry) => LotRun;
    clock: Clock;
    logger: Logger;
}

const tickMs = 200;
/** A job this old is of no use to its trainer any more, even if nobody ended it. */
const maxAgeMs = 180_000;

/** Decides which jobs run here: at every change of a job or a peer, and a few times a second. */
export function createLotBoard(deps: LotBoardDeps): LotBoard {
    const { clock, logger } = deps;
    const runs = new Map<LotId, LotRun>();
    const startedAtMs = new Map<LotId, number>();
    const finished = new Set<LotId>();
    let isLeaving = false;
    let aloneSinceMs: number | undefined;

    function stopRun(lot: LotId, reason: string): void {
        const run = runs.get(lot);
        runs.delete(lot);
        startedAtMs.delete(lot);
        logger.info("lotLeft", { lot, reason });
        void run?.stop(false);
    }

    function dropEnded(entries: ReadonlyMap<string, LotEntry>): void {
        for (const [lot, run] of runs) {
            const entry = entries.get(lot);
            if (entry === undefined || entry.isEnded) {
                stopRun(lot, entry === undefined ? "removed" : "ended");
            }
            else if (run.isComplete()) {
                finished.add(lot);
                stopRun(lot, "complete");
            }
        }
        for (const lot of finished) {
            if (!entries.has(lot)) {
                finished.delete(lot);
            }
        }
    }

    const runMsOf = (lot: LotId): number => Math.round(clock.monotonicMs() - (startedAtMs.get(lot) ?? 0));

    /** Runners that know of a death at once and not yet of each other's latest jobs may all believe a job theirs. */
    function dropDoubled(): void {
        for (const { name, isAlive, status } of deps.peers.peers()) {
            if (!isAlive || status === undefined || status.isLeaving || status.storeSilentMs > 0) {
                continue;
            }
            for (const { lot, runMs } of status.running) {
                const own = { name: deps.self, runMs: runMsOf(lot) };
                if (runs.has(lot) && givesWay(own, { name, runMs })) {
                    stopRun(lot, `doubled by ${name}`);
                }
            }
        }
    }

    function aloneMs(): number {
        const isAlone = deps.peers.peers().every(peer => !peer.isAlive);
        aloneSinceMs = isAlone ? aloneSinceMs ?? clock.monotonicMs() : undefined;
        return aloneSinceMs === undefined ? 0 : clock.monotonicMs() - aloneSinceMs;
    }

    function isOpen(lot: LotId, entry: LotEntry): boolean {
        const isCurrent = clock.wallMs() - entry.submittedAtMs < maxAgeMs;
        return !entry.isEnded && isCurrent && !runs.has(lot) && !finished.has(lot);
    }

    function refresh(): void {
        const entries = deps.entries.objects();
        if (entries === undefined || isLeaving) {
            return;
        }
        dropEnded(entries);
        dropDoubled();
        if (!deps.mayStart() || !deps.peers.isSettled()) {
            return;
        }
        const peers = deps.peers.peers();
        if (peers.some(peer => (peer.status?.storeSilentMs ?? 0) > 0)) {
            deps.checkStore();
        }
        for (const [name, entry] of entries) {
            const lot = name as LotId;
            if (!isOpen(lot, entry)) {
                continue;
            }
            const owner = chooseOwner({
                lot,
                policy: entry.policy,
                policies: deps.listPolicies(),
                self: deps.self,
                failureDomain: deps.failureDomain,
                holdsWeights: deps.holdsWeights(),
                peers,
                aloneMs: aloneMs(),
                isStoreHere: deps.isStoreHere(),
            });
            if (owner === deps.self) {
                logger.info("lotTaken", {
                    lot,
                    total: entry.total,
                    ageMs: Math.round(clock.wallMs() - entry.submittedAtMs),
                });
                startedAtMs.set(lot, clock.monotonicMs());
                runs.set(lot, deps.startRun(lot, entry));
            }
        }
    }

    function tick(): void {
        refresh();
        runs.forEach(run => run.keepTexts());
        cancelTick = clock.startTimer(tickMs, tick);
    }

    let cancelTick = clock.startTimer(tickMs, tick);
    deps.entries.onChange(refresh);
    return {
        running: () => [...runs.keys()].map(lot => ({ lot, runMs: runMsOf(lot) })),
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
