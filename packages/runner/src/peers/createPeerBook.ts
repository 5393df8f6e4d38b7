import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { PeerBook } from "./PeerBook.js";
import type { PeerView } from "./PeerView.js";
import type { RunnerStatus } from "./RunnerStatus.js";

interface PeerBookDeps {
    /** Own name, which is left out. */
    self: string;
    registered: WatchedKind<RunnerAddress>;
    /** Asks a peer for its status; rejects if it does not answer in time. */
    probe: (address: RunnerAddress, timeoutMs: number) => Promise<RunnerStatus>;
    /** Called when a peer dies, comes back, or changes what it runs. */
    onChange: () => void;
    clock: Clock;
    logger: Logger;
}

interface Peer extends Omit<PeerView, "heardMs"> {
    address: RunnerAddress;
    heardAtMs: number;
    isProbing: boolean;
}

/** A runner's jobs stand still until its death is noticed; each probe costs both ends about a millisecond. */
const probeIntervalMs = 400;
const probeTimeoutMs = 350;
/** Three probes in a row may be lost before a peer counts as dead: a short stop of a process is no death. */
const deadAfterMs = 1_300;
/**
 * A registered peer that has not answered since this process started is taken to be gone after two probes: jobs wait
 * until each peer has answered or is given up, and a VM that was removed leaves its registration behind.
 */
const unheardMs = 600;
/** A stopped process hears nobody; after a gap like this between two of its own rounds it trusts no silence. */
const ownGapMs = 1_000;

const lotsOf = (status: RunnerStatus | undefined): string =>
    (status?.running ?? []).map(each => each.lot).join(" ");

/** Keeps a view of the other runners by probing each. */
export function createPeerBook(deps: PeerBookDeps): PeerBook {
    const { clock, logger } = deps;
    const book = new Map<string, Peer>();
    const stopped = new AbortController();
    let lastRoundMs = clock.monotonicMs();

    function follow(): void {
        const registered = deps.registered.objects() ?? new Map<string, RunnerAddress>();
        for (const [name, address] of registered) {
            const known = book.get(name);
            const isSame = known?.address.host === address.host && known.address.port === address.port;
            if (name !== deps.self && !isSame) {
                const nowMs = clock.monotonicMs();
                const fresh = { heardAtMs: nowMs, isProbing: false };
                book.set(name, { name, address, isAlive: true, status: undefined, ...fresh });
            }
        }
        for (const name of book.keys()) {
            if (!registered.has(name)) {
                book.delete(name);
            }
        }
    }

    function noteAnswer(peer: Peer, status: RunnerStatus): void {
        const before = peer.status;
        peer.heardAtMs = clock.monotonicMs();
        peer.status = status;
        if (!peer.isAlive) {
            logger.info("runnerBack", { runner: peer.name, incarnation: status.incarnation });
        }
        const isChanged = !peer.isAlive || lotsOf(before) !== lotsOf(status)
            || before?.isLeaving !== status.isLeaving
            || before?.incarnation !== status.incarnation;
        peer.isAlive = true;
        if (isChanged) {
            deps.onChange();
        }
    }

    function noteSilence(peer: Peer): void {
        const silentMs = clock.monotonicMs() - peer.heardAtMs;
        const patienceMs = peer.status === undefined ? unheardMs : deadAfterMs;
        if (peer.isAlive && silentMs > patienceMs) {
            peer.isAlive = false;
            logger.warn("runnerDead", {
                runner: peer.name,
                silentMs: Math.round(silentMs),
                running: peer.status?.running.length,
            });
            deps.onChange();
        }
    }

    async function probe(peer: Peer): Promise<void> {
        if (peer.isProbing) {
            return;
        }
        peer.isProbing = true;
        try {
            noteAnswer(peer, await deps.probe(peer.address, probeTimeoutMs));
        }
        catch {
            // Silence is judged by its length, not by a single failure.
            noteSilence(peer);
        }
        peer.isProbing = false;
    }

    function round(): void {
        const nowMs = clock.monotonicMs();
        if (nowMs - lastRoundMs > ownGapMs) {
            logger.warn("ownPauseNoticed", { pausedMs: Math.round(nowMs - lastRoundMs) });
            book.forEach(peer => {
                peer.heardAtMs = Math.max(peer.heardAtMs, nowMs - probeIntervalMs);
            });
        }
        lastRoundMs = nowMs;
        book.forEach(peer => void probe(peer));
    }

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            round();
            await clock.sleep(probeIntervalMs, stopped.signal);
        }
    }

    follow();
    deps.registered.onChange(() => {
        follow();
        round();
    });
    void run();
    return {
        isSettled: () =>
            deps.registered.objects() !== undefined
            && [...book.values()].every(peer => peer.status !== undefined || !peer.isAlive),
        peers: () => {
            const nowMs = clock.monotonicMs();
            return [...book.values()].map(({ name, isAlive, status, heardAtMs }) => ({
                name,
                isAlive,
                status,
                heardMs: nowMs - heardAtMs,
            }));
        },
        poke: round,
        stop: () => stopped.abort(),
    };
}
