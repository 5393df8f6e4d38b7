import type { PriorityRule } from "./PriorityRule.js";

/** The job's priority alone: 5 to 50. */
export const priorityFixed: PriorityRule = ({ jobPriority }) => jobPriority * 5;
