import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { SidecarContext } from "./SidecarContext.js";

/** Asserts, when work is accepted, that the attempt is new here and that the sampler is not leaving. */
export function assertMayStart(context: SidecarContext, attempt: AttemptId): void {
    const { invariants } = context.deps;
    const standing = context.attempts.standing(attempt);
    if (standing !== undefined) {
        const refused = standing === "tombstone" || standing === "refused";
        invariants.check(resultCodes.notRunButRan, !refused, { attempt, standing });
        invariants.check(resultCodes.ranTwice, refused, { attempt, standing });
    }
    invariants.check(resultCodes.workAfterLeave, !context.flags.leaving, { attempt });
}
