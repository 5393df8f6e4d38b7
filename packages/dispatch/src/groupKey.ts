import type { SampleTask } from "@auburnarch/types/SampleTask";

/** Key of a sample's group within its job. */
export function groupKey(task: SampleTask): string {
    return `${task.step}/${task.group}`;
}
