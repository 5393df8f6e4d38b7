import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { SidecarContext } from "./SidecarContext.js";

/** Makes the last checks before work is queued: its deadline, then the limit of the team's queue. */
export function findQueueRefusal(
    context: SidecarContext,
    work: { team: TeamId; budgetMs: number; },
): ResultCode | undefined {
    const { guards, slots } = context;
    if (!guards.deadline(work.budgetMs)) {
        return resultCodes.deadlinePassed;
    }
    const bound = context.limits().maxQueuedPerTeam;
    return guards.queueBound(slots.waitingOf(work.team), bound) ? undefined : resultCodes.queueFull;
}
