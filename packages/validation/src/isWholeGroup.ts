import type { SampleGroup } from "@auburnarch/types/SampleGroup";

/** True if the group contains every index from 0 to `groupSize` - 1 exactly once, in order, and nothing else. */
export function isWholeGroup(group: SampleGroup, groupSize: number): boolean {
    return group.samples.length === groupSize
        && group.samples.every((sample, index) => sample.index === index && sample.group === group.group);
}
