import type { SampleId } from "@auburnarch/types/SampleId";

/** Counts of running attempts by step. */
interface RunningCounts {
    change(sample: SampleId, by: 1 | -1): void;
    ofStep(step: number): number;
}

/** Creates the counts, all zero. */
export function createRunningCounts(): RunningCounts {
    const counts = new Map<number, number>();
    return {
        change: (sample, by) => {
            const step = Number(sample.split("/").at(-3));
            const count = (counts.get(step) ?? 0) + by;
            if (count === 0) {
                counts.delete(step);
            }
            else {
                counts.set(step, count);
            }
        },
        ofStep: step => counts.get(step) ?? 0,
    };
}
