import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Random } from "@auburnarch/types/Random";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

interface BatchJobShape {
    host: string;
    policy: PolicyId;
    step: number;
    groups: number;
    groupSize: number;
}

/** A few items determine the end of each step; the mean is 13 to 14 events. */
const longShare = 0.03;
const longestEvents = { min: 90, max: 119 };
const shortEvents = { min: 5, max: 18 };

const drawBetween = (random: Random, { min, max }: { min: number; max: number; }): number =>
    min + random.nextInt(max - min);

/** Draws the batch job of a simulated step. Adds the events of each item to `events`; its hint is up to 40% off. */
export function drawBatchJob(shape: BatchJobShape, random: Random, events: Map<string, number>): BatchJob {
    const { host, policy, step, groups, groupSize } = shape;
    const lot = `${policy}-${step}` as BatchJobId;
    const items = Array.from({ length: groups * groupSize }, (_, at) => {
        const item = `${lot}-${at}` as SampleId;
        const isLong = random.nextUnit() < longShare;
        const length = drawBetween(random, isLong ? longestEvents : shortEvents);
        events.set(item, length);
        return {
            item,
            group: `${Math.floor(at / groupSize)}`,
            path: "/generate",
            headers: {},
            bodyBase64: "",
            maxOutputTokens: longestEvents.max,
            expectedOutputTokens: Math.max(1, Math.round(length * (0.6 + 0.8 * random.nextUnit()))),
            reward: undefined,
        };
    });
    return {
        lot,
        team: undefined,
        host,
        path: "/generate",
        step: step as StepNumber,
        policy,
        minVersion: 1 as WeightVersion,
        neededGroups: undefined,
        items,
    };
}
