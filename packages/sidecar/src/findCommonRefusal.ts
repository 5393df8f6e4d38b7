import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { findQuarantineRefusal } from "./findQuarantineRefusal.js";
import type { SidecarContext } from "./SidecarContext.js";

/** Makes the first checks of every kind of work, in order; undefined lets it pass. Changes nothing. */
export function findCommonRefusal(
    context: SidecarContext,
    work: { attempt: AttemptId; digest: ContentDigest; isTrial?: boolean; },
): ResultCode | undefined {
    const { guards, flags } = context;
    const status = context.attempts.statusOf(work.attempt);
    if (!guards.tombstone(status)) {
        return resultCodes.tombstoned;
    }
    // The first message with this id runs or ran, so the only correct outcome is "unknown".
    if (!guards.duplicate(status)) {
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
