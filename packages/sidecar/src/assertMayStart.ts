import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { SidecarContext } from "./SidecarContext.js";

/** Asserts, when work is accepted, that the attempt is new here and that the sampler is not leaving. */
export function assertMayStart(context: SidecarContext, attempt: AttemptId): void {
    const { invariants } = context.deps;
    const status = context.attempts.statusOf(attempt);
    if (status !== undefined) {
        const refused = status === "tombstone" || status === "refused";
        invariants.check(resultCodes.notRunButRan, !refused, { attempt, standing: status });
        invariants.check(resultCodes.ranTwice, refused, { attempt, standing: status });
    }
    invariants.check(resultCodes.workAfterLeave, !context.flags.leaving, { attempt });
}
