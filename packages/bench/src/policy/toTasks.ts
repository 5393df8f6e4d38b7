import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { Workload } from "./Workload.js";

type Groups = Workload["jobs"][number]["steps"][number]["groups"];

/** Creates the tasks of one step, one per generation seed. */
export function toTasks(
    job: string,
    step: number,
    groups: Groups,
    common: Pick<SampleTask, "maxTokens" | "needAtMs" | "minVersion">,
): SampleTask[] {
    return groups.flatMap(({ prompt, seeds }, group) =>
        seeds.map((seed, index): SampleTask => ({
            sample: `${job}/${step}/${group}/${index}` as SampleId,
            step: step as StepNumber,
            group,
            index,
            prompt,
            seed,
            digest: `${job}.${seed}` as ContentDigest,
            ...common,
        }))
    );
}
