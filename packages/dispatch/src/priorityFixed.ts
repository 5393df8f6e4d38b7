import type { PriorityRule } from "./PriorityRule.js";

/** Derives the engine priority from the job's priority alone: 5 to 50. */
export const priorityFixed: PriorityRule = ({ jobPriority }) => jobPriority * 5;
