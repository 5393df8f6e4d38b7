import type { LeaseKeeper } from "@auburnarch/lease/LeaseKeeper";
import type { Lease } from "@auburnarch/types/Lease";
import { createLoadRoller } from "./createLoadRoller.js";
import type { LoadRollerDeps } from "./LoadRollerDeps.js";
import type { WeightsDuty } from "./WeightsDuty.js";

interface WeightsDutyDeps extends Omit<LoadRollerDeps, "mayOrder" | "fencing"> {
    leases: LeaseKeeper;
    /** Term of the lease. */
    leaseTtlMs: number;
    /** False while the process has just been found to have stood still. */
    isAwake: () => boolean;
    /** Samplers must not get orders of two holders within this time. */
    handOverMs: number;
}

const leaseKey = "runner-leases/weights";
/**
 * Orders are given only this long after a renewal was sent, though the lease lasts longer: a successor knows then that
 * the last order is as old as its own wait for the lease, less this. Renewals come every third of the term.
 */
const orderWindowMs = 1_100;
/** For orders under way when the window ends. */
const handOverSlackMs = 300;
const tickMs = 150;

/** Makes the duty. One holder at a time: two that order the same sampler could take it back to older weights. */
export function createWeightsDuty(deps: WeightsDutyDeps): WeightsDuty {
    const { clock, logger } = deps;
    const stopped = new AbortController();
    let isHeld = (): boolean => false;

    /** How long the last order of an earlier holder may still be too fresh. */
    function quietMsAfter(found: Lease["found"]): number {
        if (found === "nothing" || found === "ownEarlier") {
            return 0;
        }
        const apartMs = deps.handOverMs + handOverSlackMs;
        return found === "lapsed" ? Math.max(0, apartMs + orderWindowMs - deps.leaseTtlMs) : apartMs;
    }

    async function hold(lease: Lease): Promise<void> {
        const mayOrder = (): boolean =>
            lease.isHeld() && (lease.ageMs?.() ?? 0) < orderWindowMs && !stopped.signal.aborted
            && deps.isAwake();
        const roller = createLoadRoller({ ...deps, mayOrder, fencing: lease.fencing });
        while (lease.isHeld() && !stopped.signal.aborted) {
            roller.round();
            await clock.sleep(tickMs, stopped.signal);
        }
        roller.stop();
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
            logger.info("weightsDutyTaken", { fencing, found, quietMs });
            await clock.sleep(quietMs, stopped.signal);
            await hold(lease);
            logger.info("weightsDutyEnded", { fencing });
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
