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
    /** Wall time from which the content may be tried once more. */
    dueAtMs: (digest: ContentDigest, kind: TrialKind) => number;
    isDue: (dueAtMs: number, nowMs: number) => boolean;
    withTrial: (digest: ContentDigest, trial: TrialId) => QuarantineRecord;
    hasTrial: (digest: ContentDigest, trial: TrialId) => boolean;
    /** Writes the list with this record merged in, if nobody else has written meanwhile; true if written. */
    write: (record: QuarantineRecord) => Promise<boolean>;
}

interface Permit {
    trial: TrialId;
    untilMs: number;
}

/** A trial that was not run by then, since its caller has not come again, is forgotten. */
const permitLifeMs = 600_000;
const maxAttempts = 5;

/**
 * Allows a refused content one run at a time. A trial counts once it stands in the shared list, written under the
 * version it was decided on, so that entries that decide at once cannot exceed the limit of the fleet together. A
 * write whose answer is lost may have taken effect: the permit is kept and valid once the list shows it.
 */
export function createTrials(
    deps: TrialsDeps,
): Pick<Quarantine, "takeTrial" | "returnTrial" | "trialDueInMs"> {
    const { clock, logger } = deps;
    const permits = new Map<ContentDigest, Permit>();
    /** Contents for which a trial is being asked for here: the next request of it must not ask as well. */
    const requesting = new Set<ContentDigest>();

    const dueInMs = (digest: ContentDigest, kind: TrialKind): number => {
        const dueAtMs = deps.dueAtMs(digest, kind);
        return deps.isDue(dueAtMs, clock.wallMs()) ? 0 : Math.max(1, dueAtMs - clock.wallMs());
    };

    /** The content's permit, unless it is too old. */
    function permitOf(digest: ContentDigest): Permit | undefined {
        const permit = permits.get(digest);
        if (permit !== undefined && permit.untilMs <= clock.wallMs()) {
            permits.delete(digest);
            return undefined;
        }
        return permit;
    }

    /** A permit that stands in the list and has not been used. */
    function validPermit(digest: ContentDigest): Permit | undefined {
        const permit = permitOf(digest);
        return permit !== undefined && deps.hasTrial(digest, permit.trial) ? permit : undefined;
    }

    /** Asks once more under the same id for what may have been written already. */
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
                // The object API is down: what is refused stays refused until a trial can be counted.
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
