import type { StepStatus } from "./StepStatus.js";

/** Waiting and the variation of lengths cost about this much. */
const comfortableSlackMs = 1_000;

/** True if a step can be on time only if it need not leave slots to others. */
export const isAtRisk = ({ slackMs }: Pick<StepStatus, "slackMs">): boolean =>
    slackMs >= 0 && slackMs < comfortableSlackMs;
