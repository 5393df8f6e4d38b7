import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { Lease } from "@auburnarch/types/Lease";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";
import { defaultLeaseGuards } from "./defaultLeaseGuards.js";
import type { LeaseDeps } from "./LeaseDeps.js";
import type { LeaseValue } from "./LeaseValue.js";
import { parseLeaseValue } from "./parseLeaseValue.js";

/** A newly acquired lease. */
interface AcquiredLease {
    key: string;
    fencing: FencingNumber;
    version: ObjectVersion;
    /** Monotonic time just before the acquiring write was sent. */
    sentAtMs: number;
    /** Writer in the stamp of the acquiring write; renewals use the following sequence numbers. */
    writer: string;
    ttlMs: number;
    isFirst: boolean;
    found: NonNullable<Lease["found"]>;
    isSettled: boolean;
    onEnd: () => void;
}

const renewalsPerTerm = 3;
const retriesPerTerm = 6;
const jitterRatio = 0.1;
const maxReleaseAttempts = 2;

/** Renews an acquired lease until it is released or another holder is observed. */
export function createHeldLease(deps: LeaseDeps, acquired: AcquiredLease): Lease {
    const { store, clock, random, logger, guards = defaultLeaseGuards } = deps;
    const { key, fencing, writer, ttlMs } = acquired;
    const lost = new AbortController();
    /** Send times of writes that are not confirmed yet, by sequence. */
    const sentAtMs = new Map<number, number>();
    let version = acquired.version;
    let confirmedSentAtMs = acquired.sentAtMs;
    let sequence = 0;
    let released = false;
    let { isSettled } = acquired;
    let cancelTimer = (): void => {};

    const isEnded = (): boolean => released || lost.signal.aborted;

    function nextValue(holder: string | undefined): LeaseValue {
        sequence++;
        sentAtMs.set(sequence, clock.monotonicMs());
        const settled = isSettled && holder !== undefined ? { isSettled } : {};
        return { holder, fencing, ttlMs, ...settled, stamp: { writer, sequence } };
    }

    function confirm(confirmed: number, at: ObjectVersion): void {
        version = at;
        confirmedSentAtMs = Math.max(confirmedSentAtMs, sentAtMs.get(confirmed) ?? confirmedSentAtMs);
        [...sentAtMs.keys()].filter(known => known <= confirmed).forEach(known => sentAtMs.delete(known));
    }

    function markLost(current: StoredObject | undefined): void {
        const holder = parseLeaseValue(current?.value)?.holder;
        logger.warn("leaseLost", { key, fencing, holder, reason: "anotherHolderSeen" });
        lost.abort();
        acquired.onEnd();
    }

    /**
     * True if the write took effect. A conflict whose stamp names this writer shows an earlier write whose response was
     * lost.
     */
    function settleRenewal(sent: number, outcome: WriteOutcome): boolean {
        if (outcome.kind === "written") {
            confirm(sent, outcome.version);
            return true;
        }
        const stamp = parseLeaseValue(outcome.current?.value)?.stamp;
        if (stamp?.writer === writer && outcome.current !== undefined) {
            confirm(stamp.sequence, outcome.current.version);
            return stamp.sequence === sent;
        }
        markLost(outcome.current);
        return false;
    }

    async function renew(): Promise<boolean> {
        const value = nextValue(deps.holder);
        const sent = sequence;
        try {
            const outcome = await store.write(key, value, version);
            return !isEnded() && settleRenewal(sent, outcome);
        }
        catch {
            // Whether it took effect is unknown until the next attempt's conflict shows it. Until then the lease ages.
            return false;
        }
    }

    async function renewAndSchedule(): Promise<void> {
        if (isEnded()) {
            return;
        }
        const wasHeld = isHeld();
        const renewed = await renew();
        if (isEnded()) {
            return;
        }
        if (wasHeld && !isHeld()) {
            logger.warn("leaseLapsed", {
                key,
                fencing,
                ageMs: Math.round(clock.monotonicMs() - confirmedSentAtMs),
            });
        }
        schedule(renewed ? ttlMs / renewalsPerTerm : ttlMs / retriesPerTerm);
    }

    function schedule(delayMs: number): void {
        const jitter = 1 + jitterRatio * (2 * random.nextUnit() - 1);
        cancelTimer = clock.startTimer(delayMs * jitter, () => void renewAndSchedule());
    }

    function isHeld(): boolean {
        return !isEnded() && guards.isWithinLease(clock.monotonicMs() - confirmedSentAtMs, ttlMs);
    }

    async function release(): Promise<void> {
        if (isEnded()) {
            return;
        }
        released = true;
        cancelTimer();
        acquired.onEnd();
        // If no attempt is answered, the lease expires after its term: the next holder waits longer, but stays safe.
        for (let attempts = 0; attempts < maxReleaseAttempts; attempts++) {
            const value = nextValue(undefined);
            const sent = sequence;
            const outcome = await store.write(key, value, version).catch(() => undefined);
            if (outcome !== undefined && settleRelease(sent, outcome)) {
                logger.info("leaseReleased", { key, fencing });
                return;
            }
        }
    }

    /** True if the lease is released or no longer this process's. */
    function settleRelease(sent: number, outcome: WriteOutcome): boolean {
        if (outcome.kind === "written") {
            return true;
        }
        const stamp = parseLeaseValue(outcome.current?.value)?.stamp;
        if (stamp?.writer !== writer || outcome.current === undefined) {
            return true;
        }
        version = outcome.current.version;
        return stamp.sequence === sent;
    }

    schedule(ttlMs / renewalsPerTerm);
    const ageMs = (): number => clock.monotonicMs() - confirmedSentAtMs;
    return {
        key,
        fencing,
        isFirst: acquired.isFirst,
        found: acquired.found,
        ageMs,
        isHeld,
        settle: () => {
            isSettled = true;
        },
        release,
        lost: lost.signal,
    };
}
