import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { findQuarantineRefusal } from "./findQuarantineRefusal.js";
import type { SidecarContext } from "./SidecarContext.js";

/** The checks that every kind of work passes first, in order; undefined lets it pass. Changes nothing. */
export function findCommonRefusal(
    context: SidecarContext,
    work: { attempt: AttemptId; digest: ContentDigest; isTrial?: boolean; },
): ResultCode | undefined {
    const { guards, flags } = context;
    const standing = context.attempts.standing(work.attempt);
    if (!guards.tombstone(standing)) {
        return resultCodes.tombstoned;
    }
    // The first message of this id runs or ran: only "unknown" is true of the attempt.
    if (!guards.duplicate(standing)) {
        return resultCodes.connectionBroken;
    }
    if (!guards.leaving(flags.leaving)) {
        return resultCodes.leaving;
    }
    if (!guards.shuttingDown(flags.shuttingDown)) {
        return resultCodes.shuttingDown;
    }
    if (!guards.informed(context.isInformed())) {
        return resultCodes.notReady;
    }
    return findQuarantineRefusal(context, work);
}
