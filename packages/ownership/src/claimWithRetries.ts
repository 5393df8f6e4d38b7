import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Clock } from "@auburnarch/types/Clock";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import { backoffMs } from "./backoffMs.js";
import type { ClaimedState } from "./ClaimedState.js";
import type { JobStore } from "./JobStore.js";

const firstBackoffMs = 50;
const maxBackoffMs = 2_000;

interface ClaimDeps {
    jobStore: JobStore;
    lease: Lease;
    clock: Clock;
    random: Random;
    logger: Logger;
}

/** Claims the job's state; retries while the object API fails and the lease is held. Rejects with the last error. */
export async function claimWithRetries(deps: ClaimDeps): Promise<ClaimedState> {
    const { jobStore, lease, clock, random, logger } = deps;
    for (let failures = 1;; failures++) {
        try {
            return await jobStore.claim();
        }
        catch (error) {
            const code = codeOf(error);
            const isTransient = code.number === resultCodes.storeUnavailable.number
                || code.number === resultCodes.storeThrottled.number;
            if (!isTransient || !lease.isHeld()) {
                throw error;
            }
            logger.warn("claimFailed", { code: code.number, name: code.name, failures });
            await clock.sleep(backoffMs(failures, firstBackoffMs, maxBackoffMs, random));
        }
    }
}
