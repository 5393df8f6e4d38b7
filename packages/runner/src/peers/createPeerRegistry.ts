import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { PeerRegistry } from "./PeerRegistry.js";
import type { PeerView } from "./PeerView.js";
import type { RunnerStatus } from "./RunnerStatus.js";

interface PeerRegistryDeps {
    /** Name of this runner, which is left out. */
    self: string;
    registered: WatchedKind<RunnerAddress>;
    /** Requests a peer's status; rejects if it does not answer in time. */
    probe: (address: RunnerAddress, timeoutMs: number) => Promise<RunnerStatus>;
    /** Called when a peer counts as crashed, answers again, or changes what it runs. */
    onChange: () => void;
    clock: Clock;
    logger: Logger;
}

interface Peer extends Omit<PeerView, "answerAgeMs"> {
    address: RunnerAddress;
    /** Time at which the probe of its last answer was sent; the answer may have waited here during an own pause. */
    answeredAtMs: number;
    /** From here its silence counts: its last answer, or the end of an own pause. */
    silentSinceMs: number;
    isProbing: boolean;
}

/** A runner's batch jobs stall until its crash is detected; each probe costs both sides about a millisecond. */
const probeIntervalMs = 400;
const probeTimeoutMs = 350;
/**
 * Three consecutive probes may be lost before a peer counts as crashed, so that a short pause of a process is not
 * taken for a crash.
 */
const deadAfterMs = 1_300;
/**
 * A registered peer that has never answered this process counts as removed after two probes: batch jobs wait until
 * each peer has answered or counts as crashed, and a removed VM leaves its registration behind.
 */
const firstAnswerTimeoutMs = 600;
/**
 * A paused process receives no answers; after a longer gap between two of its own rounds it does not count the time
 * as silence of its peers.
 */
const maxRoundGapMs = 1_000;
/** The monotonic clock stops while a VM is suspended, the wall clock does not; smaller steps of it are normal. */
const maxClockDriftMs = 700;

const runningIdsOf = (status: RunnerStatus | undefined): string =>
    (status?.running ?? []).map(each => each.lot).join(" ");

/** Maintains a view of the other runners by probing each of them. */
export function createPeerRegistry(deps: PeerRegistryDeps): PeerRegistry {
    const { clock, logger } = deps;
    const registry = new Map<string, Peer>();
    const stopped = new AbortController();
    let lastRoundMs = clock.monotonicMs();
    let suspensions = 0;
    let wallOffsetMs = clock.wallMs() - clock.monotonicMs();

    function syncRegistered(): void {
        const registered = deps.registered.objects() ?? new Map<string, RunnerAddress>();
        for (const [name, address] of registered) {
            const known = registry.get(name);
            const isSame = known?.address.host === address.host && known.address.port === address.port;
            if (name !== deps.self && !isSame) {
                const nowMs = clock.monotonicMs();
                const fresh = { answeredAtMs: nowMs, silentSinceMs: nowMs, isProbing: false };
                registry.set(name, { name, address, isAlive: true, status: undefined, ...fresh });
            }
        }
        for (const name of registry.keys()) {
            if (!registered.has(name)) {
                registry.delete(name);
            }
        }
    }

    function recordAnswer(peer: Peer, status: RunnerStatus, sentAtMs: number): void {
        const before = peer.status;
        peer.answeredAtMs = sentAtMs;
        peer.silentSinceMs = clock.monotonicMs();
        peer.status = status;
        if (!peer.isAlive) {
            logger.info("runnerBack", { runner: peer.name, incarnation: status.incarnation });
        }
        const isChanged = !peer.isAlive || runningIdsOf(before) !== runningIdsOf(status)
            || before?.isLeaving !== status.isLeaving
            || before?.incarnation !== status.incarnation;
        peer.isAlive = true;
        if (isChanged) {
            deps.onChange();
        }
    }

    function recordSilence(peer: Peer): void {
        const silentMs = clock.monotonicMs() - peer.silentSinceMs;
        const timeoutMs = peer.status === undefined ? firstAnswerTimeoutMs : deadAfterMs;
        if (peer.isAlive && silentMs > timeoutMs) {
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
        discardAnswersBeforeSuspension();
        const sentAtMs = clock.monotonicMs();
        const suspensionsBefore = suspensions;
        try {
            const status = await deps.probe(peer.address, probeTimeoutMs);
            discardAnswersBeforeSuspension();
            recordAnswer(peer, status, suspensions === suspensionsBefore ? sentAtMs : -Infinity);
        }
        catch {
            // A peer is judged by the duration of its silence, not by a single failed probe.
            recordSilence(peer);
        }
        peer.isProbing = false;
    }

    function round(): void {
        const nowMs = clock.monotonicMs();
        if (nowMs - lastRoundMs > maxRoundGapMs) {
            logger.warn("ownPauseNoticed", { pausedMs: Math.round(nowMs - lastRoundMs) });
            // Only its silence is excused. Its last answer is as old as before, and it may have taken a batch job over.
            registry.forEach(peer => {
                peer.silentSinceMs = Math.max(peer.silentSinceMs, nowMs - probeIntervalMs);
            });
        }
        lastRoundMs = nowMs;
        registry.forEach(peer => void probe(peer));
    }

    /** After a suspension of the VM, earlier answers are of unknown age. */
    function discardAnswersBeforeSuspension(): void {
        const offsetMs = clock.wallMs() - clock.monotonicMs();
        if (offsetMs - wallOffsetMs > maxClockDriftMs) {
            suspensions++;
            registry.forEach(peer => {
                peer.answeredAtMs = -Infinity;
            });
        }
        wallOffsetMs = offsetMs;
    }

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            round();
            await clock.sleep(probeIntervalMs, stopped.signal);
        }
    }

    syncRegistered();
    deps.registered.onChange(() => {
        syncRegistered();
        round();
    });
    void run();
    return {
        isSettled: () =>
            deps.registered.objects() !== undefined
            && [...registry.values()].every(peer => peer.status !== undefined || !peer.isAlive),
        peers: () => {
            discardAnswersBeforeSuspension();
            const nowMs = clock.monotonicMs();
            return [...registry.values()].map(({ name, isAlive, status, answeredAtMs }) => ({
                name,
                isAlive,
                status,
                answerAgeMs: nowMs - answeredAtMs,
            }));
        },
        probeNow: round,
        stop: () => stopped.abort(),
    };
}
