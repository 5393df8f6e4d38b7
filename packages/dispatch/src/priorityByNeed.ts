import type { PriorityRule } from "./PriorityRule.js";

const priorityStep = 5;
const urgencySpan = 40;

/**
 * Returns five times the job's priority plus up to 40 as the need date approaches: 0 with twice the expected run
 * time to spare, 40 once the need date can't be met any more.
 */
export const priorityByNeed: PriorityRule = ({ jobPriority, needAtMs, nowMs, expectedRunMs }) => {
    const spareMs = needAtMs - nowMs - expectedRunMs;
    const comfortMs = Math.max(1, 2 * expectedRunMs);
    const urgency = Math.min(1, Math.max(0, 1 - spareMs / comfortMs));
    return Math.min(99, Math.round(jobPriority * priorityStep + urgency * urgencySpan));
};
