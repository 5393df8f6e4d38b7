import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createLeaseManager } from "@auburnarch/lease/createLeaseManager";
import { jobLeaseKey } from "@auburnarch/lease/jobLeaseKey";
import type { JobId } from "@auburnarch/types/JobId";
import { createSuspicionLogger } from "./createSuspicionLogger.js";
import type { LeasePoint } from "./LeasePoint.js";

const measuredMs = 60_000;
const storeLatencyMs = 4;

/** Holds leases with the default duration for a minute and counts the calls to the object API. */
export async function measureLeases(leases: number): Promise<LeasePoint> {
    const clock = createFakeClock();
    const random = createRandom(leases);
    const { store, control } = createFakeObjectStore({
        clock,
        random: random.fork(),
        latencyMs: storeLatencyMs,
    });
    const { logger } = createSuspicionLogger();
    const leaseManager = createLeaseManager({
        store,
        clock,
        random,
        logger,
        invariants: createInvariants(logger, code => {
            throw new Error(`invariant violated: ${code.name}`);
        }),
        holder: "entry-1",
    });
    const acquiring = Promise.all(
        Array.from({ length: leases }, (_, at) => leaseManager.tryAcquire(jobLeaseKey(`job-${at}` as JobId))),
    );
    await clock.advance(1_000);
    await acquiring;
    const before = control.calls();
    await clock.advance(measuredMs);
    const after = control.calls();
    const seconds = measuredMs / 1_000;
    const released = leaseManager.releaseAll();
    await clock.advance(1_000);
    await released;
    return {
        leases,
        writesPerSecond: (after.write - before.write) / seconds,
        readsPerSecond: (after.read + after.list + after.watch - before.read - before.list - before.watch)
            / seconds,
    };
}
