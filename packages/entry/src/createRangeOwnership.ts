import { createAnswerCacheBudget } from "@auburnarch/admission/createAnswerCacheBudget";
import { createKeyRange } from "@auburnarch/admission/createKeyRange";
import type { KeyRange } from "@auburnarch/admission/KeyRange";
import type { KeyRangeGuards } from "@auburnarch/admission/KeyRangeGuards";
import { rangeCount } from "@auburnarch/admission/rangeCount";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import { rangeLeaseKey } from "@auburnarch/lease/rangeLeaseKey";
import type { Clock } from "@auburnarch/types/Clock";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import { createRankCache } from "./createRankCache.js";
import type { RangeOwnership } from "./RangeOwnership.js";
import type { TryAcquireLease } from "./TryAcquireLease.js";

/** With two standbys for each of 32 ranges: 21 reads per second for the whole fleet, regardless of its size. */
const pollMs = 3_000;
const standbyCount = 2;
const allRanges = Array.from({ length: rangeCount }, (_, range) => range);
/** Time to learn of the other entries, so that the first entry to start does not acquire every range. */
const startDelayMs = 2_000;

interface RangeOwnershipDeps {
    self: EntryId;
    clock: Clock;
    logger: Logger;
    invariants: Invariants;
    guards: KeyRangeGuards | undefined;
    listEntries: () => EntryId[];
    tryAcquireLease: TryAcquireLease;
    /** Returns those of the lease keys that may be acquirable. */
    findAcquirableLeases: (keys: string[]) => Promise<string[]>;
    announce: (range: number, lease: Lease) => void;
}

/**
 * Acquires key ranges whose rendezvous hash ranks this entry first or second. A range stays with its holder while that
 * entry is alive: after a move its recent keys cannot be answered, so ranges are never moved for load balancing.
 */
export function createRangeOwnership(deps: RangeOwnershipDeps): RangeOwnership {
    const { clock, logger, invariants } = deps;
    const owned = new Map<number, KeyRange>();
    const acquiring = new Set<number>();
    const stopped = new AbortController();
    const answers = createAnswerCacheBudget();
    const rank = createRankCache();

    async function acquire(range: number): Promise<void> {
        const lease = await deps.tryAcquireLease(rangeLeaseKey(range));
        if (lease === undefined || owned.has(range)) {
            return;
        }
        if (stopped.signal.aborted) {
            await lease.release();
            return;
        }
        owned.set(
            range,
            createKeyRange({
                range,
                lease,
                takenOverAtMs: lease.isFirst ? undefined : clock.wallMs(),
                clock,
                logger,
                invariants,
                answerBudget: answers,
                guards: deps.guards,
            }),
        );
        lease.lost.addEventListener("abort", () => owned.delete(range), { once: true });
        deps.announce(range, lease);
    }

    function listWantedRanges(): number[] {
        const entries = deps.listEntries();
        return allRanges.filter(range => {
            const isStandby = rank(rangeLeaseKey(range), entries).slice(0, standbyCount).includes(deps.self);
            return isStandby && !owned.has(range) && !acquiring.has(range);
        });
    }

    function tryAcquire(range: number): void {
        acquiring.add(range);
        acquire(range)
            .catch(error => logger.warn("rangeNotTaken", { range, code: codeOf(error).name }))
            .finally(() => acquiring.delete(range));
    }

    async function acquireWantedRanges(): Promise<void> {
        const wanted = listWantedRanges();
        const acquirableLeases = new Set(await deps.findAcquirableLeases(wanted.map(rangeLeaseKey)));
        wanted.filter(range => acquirableLeases.has(rangeLeaseKey(range))).forEach(tryAcquire);
    }

    async function loop(): Promise<void> {
        await clock.sleep(startDelayMs, stopped.signal);
        while (!stopped.signal.aborted) {
            await acquireWantedRanges().catch(error =>
                logger.warn("rangesNotScanned", { code: codeOf(error).name })
            );
            await clock.sleep(pollMs, stopped.signal);
        }
    }

    return {
        start: () => void loop(),
        stop: () => stopped.abort(),
        get: range => owned.get(range),
        owned: () => owned.size,
    };
}
