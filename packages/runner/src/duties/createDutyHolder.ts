import type { LeaseKeeper } from "@auburnarch/lease/LeaseKeeper";
import type { Clock } from "@auburnarch/types/Clock";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import type { Duty } from "./Duty.js";
import type { DutyHolder } from "./DutyHolder.js";
import type { HeldDuties } from "./HeldDuties.js";

interface DutyHolderDeps {
    leases: LeaseKeeper;
    /** Term of the lease. */
    leaseTtlMs: number;
    /** False while the process has just been found to have stood still. */
    areClocksTrusted: () => boolean;
    /** What a duty acts on must not hear of two holders within this time. */
    handOverMs: number;
    /** Each is made anew whenever the lease is acquired. */
    duties: ((held: HeldDuties) => Duty)[];
    clock: Clock;
    logger: Logger;
}

const leaseKey = "runner-leases/weights";
/**
 * Calls are made only this long after a renewal was sent, though the lease lasts longer: a successor knows then that
 * the last call is as old as its own wait for the lease, less this. Renewals come every third of the term.
 */
const actWindowMs = 1_100;
/** For calls under way when the window ends. */
const handOverSlackMs = 300;
const tickMs = 150;

/**
 * Makes the holder. One lease serves all duties: each of its own would cost renewals, and none is lost alone. Two that
 * order the same sampler could take it back to older weights, and two that report one window could differ.
 */
export function createDutyHolder(deps: DutyHolderDeps): DutyHolder {
    const { clock, logger } = deps;
    const stopped = new AbortController();
    let isHeld = (): boolean => false;

    /** How long the last call of an earlier holder may still be too fresh. */
    function quietMsAfter(found: Lease["found"]): number {
        if (found === "nothing" || found === "ownEarlier") {
            return 0;
        }
        const apartMs = deps.handOverMs + handOverSlackMs;
        return found === "lapsed" ? Math.max(0, apartMs + actWindowMs - deps.leaseTtlMs) : apartMs;
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
