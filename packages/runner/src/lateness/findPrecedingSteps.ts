import { isAtRisk } from "./isAtRisk.js";
import type { StepStatus } from "./StepStatus.js";

type ComparedStep = Pick<StepStatus, "slackMs" | "latenessMs" | "waitingItems">;

/** Reports of peers are up to 400 ms old; with a smaller margin two steps would take turns at yielding. */
const minDifferenceMs = 500;

const canBeOnTime = (step: ComparedStep): boolean => step.slackMs >= 0;

/** True if the other trainer is further behind, and yielding to it does not endanger the own step. */
const yieldsToLater = (own: ComparedStep, other: ComparedStep): boolean =>
    !isAtRisk(own) && other.latenessMs > own.latenessMs + minDifferenceMs;

/**
 * Finds the steps of other policies to which a step leaves free slots. They have items waiting, can still be on time,
 * and either have less slack or belong to a later trainer. A step that can no longer be on time leaves slots to all
 * that can. Load addressed: several trainers whose items wait for the same samplers.
 */
export function findPrecedingSteps<Step extends ComparedStep>(
    own: ComparedStep,
    others: readonly Step[],
): Step[] {
    return others.filter(other =>
        other.waitingItems > 0
        && canBeOnTime(other)
        && (canBeOnTime(own)
            ? yieldsToLater(own, other)
                || (other.slackMs < own.slackMs - minDifferenceMs && !yieldsToLater(other, own))
            : isAtRisk(other))
    );
}
