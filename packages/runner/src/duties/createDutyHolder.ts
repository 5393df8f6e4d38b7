import type { LeaseManager } from "@auburnarch/lease/LeaseManager";
import type { Clock } from "@auburnarch/types/Clock";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import type { Duty } from "./Duty.js";
import type { DutyHolder } from "./DutyHolder.js";
import type { HeldDuties } from "./HeldDuties.js";

interface DutyHolderDeps {
    leases: LeaseManager;
    /** Duration of the lease. */
    leaseTtlMs: number;
    /** False for some time after a pause of the process was detected. */
    areClocksTrusted: () => boolean;
    /** The targets of a duty must not receive calls from two holders within this time. */
    handOverMs: number;
    /** Each duty is created anew whenever the lease is acquired. */
    duties: ((held: HeldDuties) => Duty)[];
    clock: Clock;
    logger: Logger;
}

const leaseKey = "runner-leases/weights";
/**
 * Calls are made only within this time after a renewal was sent, although the lease is valid for longer. A successor
 * thereby knows the minimum age of the last call: its own wait for the lease, less this time. The lease is renewed in
 * each third of its duration.
 */
const actWindowMs = 1_100;
/** Allowance for calls in flight at the end of that window. */
const handOverSlackMs = 300;
const tickMs = 150;

/**
 * Creates the holder. One lease covers all duties: separate leases would each cost renewals, although a process that
 * loses one would lose all. Two holders that order the same sampler could revert it to older weights, and two that
 * report the same window could report different counts.
 */
export function createDutyHolder(deps: DutyHolderDeps): DutyHolder {
    const { clock, logger } = deps;
    const stopped = new AbortController();
    let isHeld = (): boolean => false;

    /** Time to wait after acquiring the lease, since the last call of an earlier holder may be too recent. */
    function quietMsAfter(found: Lease["found"]): number {
        if (found === "nothing" || found === "ownEarlier") {
            return 0;
        }
        const minCallGapMs = deps.handOverMs + handOverSlackMs;
        return found === "lapsed" ? Math.max(0, minCallGapMs + actWindowMs - deps.leaseTtlMs) : minCallGapMs;
    }

    async function runDuties(lease: Lease): Promise<void> {
        const mayAct = (): boolean =>
            lease.isHeld() && (lease.ageMs?.() ?? 0) < actWindowMs && !stopped.signal.aborted
            && deps.areClocksTrusted();
        const duties = deps.duties.map(start => start({ fencing: lease.fencing, mayAct }));
        while (lease.isHeld() && !stopped.signal.aborted) {
            duties.forEach(duty => duty.round());
            await clock.sleep(tickMs, stopped.signal);
        }
        duties.forEach(duty => duty.stop());
    }

    async function serve(): Promise<void> {
        while (!stopped.signal.aborted) {
            const lease = await deps.leases.acquire(leaseKey, stopped.signal);
            if (lease === undefined) {
                return;
            }
            const { fencing, found } = lease;
            const quietMs = quietMsAfter(found);
            isHeld = lease.isHeld;
            logger.info("dutiesTaken", { fencing, found, quietMs });
            await clock.sleep(quietMs, stopped.signal);
            lease.settle?.();
            await runDuties(lease);
            logger.info("dutiesEnded", { fencing });
            await lease.release();
        }
    }

    void serve();
    return {
        isHeld: () => isHeld(),
        stop: async () => {
            stopped.abort();
            await deps.leases.releaseAll();
        },
    };
}
