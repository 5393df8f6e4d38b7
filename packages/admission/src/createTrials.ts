import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { Random } from "@auburnarch/types/Random";
import type { TrialId } from "@auburnarch/types/TrialId";
import type { Quarantine } from "./Quarantine.js";
import type { TrialKind } from "./TrialKind.js";

interface TrialsDeps {
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Wall time from which the content may have another trial. */
    dueAtMs: (digest: ContentDigest, kind: TrialKind) => number;
    isDue: (dueAtMs: number, nowMs: number) => boolean;
    withTrial: (digest: ContentDigest, trial: TrialId) => QuarantineRecord;
    hasTrial: (digest: ContentDigest, trial: TrialId) => boolean;
    /** Writes the list with this record merged, unless another entry wrote meanwhile; true if written. */
    write: (record: QuarantineRecord) => Promise<boolean>;
}

interface Permit {
    trial: TrialId;
    untilMs: number;
}

/** A trial that is not run within this time, because its caller has not retried, expires. */
const permitLifeMs = 600_000;
const maxAttempts = 5;

/**
 * Allows a refused content one run at a time. A trial counts once it is in the shared list, written conditionally on
 * the version it was decided on, so that entries that decide concurrently cannot exceed the fleet's limit together.
 * A write whose answer is lost may have taken effect: its permit is kept and becomes valid once the list contains it.
 */
export function createTrials(
    deps: TrialsDeps,
): Pick<Quarantine, "takeTrial" | "returnTrial" | "trialDueInMs"> {
    const { clock, logger } = deps;
    const permits = new Map<ContentDigest, Permit>();
    /** Contents for which this entry is requesting a trial; concurrent requests must not request another. */
    const requesting = new Set<ContentDigest>();

    const dueInMs = (digest: ContentDigest, kind: TrialKind): number => {
        const dueAtMs = deps.dueAtMs(digest, kind);
        return deps.isDue(dueAtMs, clock.wallMs()) ? 0 : Math.max(1, dueAtMs - clock.wallMs());
    };

    /** The content's permit, unless it has expired. */
    function permitOf(digest: ContentDigest): Permit | undefined {
        const permit = permits.get(digest);
        if (permit !== undefined && permit.untilMs <= clock.wallMs()) {
            permits.delete(digest);
            return undefined;
        }
        return permit;
    }

    /** An unused permit whose trial is in the shared list. */
    function validPermit(digest: ContentDigest): Permit | undefined {
        const permit = permitOf(digest);
        return permit !== undefined && deps.hasTrial(digest, permit.trial) ? permit : undefined;
    }

    /** Requests a trial; retries use the same id, since an earlier write may have taken effect. */
    async function requestPermit(digest: ContentDigest, kind: TrialKind): Promise<void> {
        for (let tries = 0; tries < maxAttempts && validPermit(digest) === undefined; tries++) {
            if (dueInMs(digest, kind) > 0) {
                return;
            }
            const { trial } = permitOf(digest) ?? storePermit(digest, deps.random.nextId() as TrialId);
            if (await deps.write(deps.withTrial(digest, trial))) {
                logger.warn("contentTrialAllowed", { digest, trial });
            }
        }
    }

    function storePermit(digest: ContentDigest, trial: TrialId): Permit {
        const permit = { trial, untilMs: clock.wallMs() + permitLifeMs };
        permits.set(digest, permit);
        return permit;
    }

    return {
        trialDueInMs: (digest, kind) => validPermit(digest) === undefined ? dueInMs(digest, kind) : 0,
        takeTrial: async (digest, kind) => {
            if (requesting.has(digest)) {
                return undefined;
            }
            requesting.add(digest);
            try {
                await requestPermit(digest, kind);
            }
            catch {
                // The object API is down; refused contents stay refused until a trial can be counted.
                logger.info("contentTrialNotCounted", { digest });
            }
            finally {
                requesting.delete(digest);
            }
            const permit = validPermit(digest);
            if (permit !== undefined) {
                permits.delete(digest);
            }
            return permit?.trial;
        },
        returnTrial: (digest, trial) => void storePermit(digest, trial),
    };
}
