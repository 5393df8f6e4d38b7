import type { Clock } from "@auburnarch/types/Clock";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { digestOf } from "./digestOf.js";
import { sampleIdOf } from "./sampleIdOf.js";
import type { StepDocument } from "./StepDocument.js";

const seedDigits = 8;
const maxSeed = 0x7fffffff;

/**
 * Builds the task of one sample. The seed is derived from the sample's identity, so that another owner requests the
 * same generation again. The content digest excludes the seed: a prompt that crashes samplers does so with any seed.
 */
export function buildSampleTask(
    job: JobManifest,
    document: StepDocument,
    group: number,
    index: number,
    minVersion: WeightVersion,
    clock: Clock,
): SampleTask {
    const { prompt, maxTokens } = document.prompts[group]!;
    const sample = sampleIdOf(job.job, document.step, group, index);
    const seedHex = digestOf([sample, document.digest]).slice(0, seedDigits);
    return {
        sample,
        step: document.step as StepNumber,
        group,
        index,
        prompt,
        maxTokens,
        seed: Number.parseInt(seedHex, 16) & maxSeed,
        digest: digestOf([job.policy, prompt, maxTokens]),
        needAtMs: clock.monotonicMs() + (document.needAtMs - clock.wallMs()),
        minVersion,
    };
}
