import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { JobId } from "@auburnarch/types/JobId";
import { findSpanProblem } from "./findSpanProblem.js";
import type { SampleProblem } from "./SampleProblem.js";
import type { VersionBounds } from "./VersionBounds.js";

/** Checks a completed sample against its task; undefined if it counts. */
export function findSampleProblem(
    job: JobId,
    sample: GeneratedSample,
    bounds: VersionBounds,
): SampleProblem | undefined {
    const { task, answer } = sample;
    if (task.sample !== `${job}/${task.step}/${task.group}/${task.index}`) {
        return "wrongIdentity";
    }
    if (!answer.complete) {
        return "incomplete";
    }
    if (!Number.isFinite(answer.engineMs) || answer.engineMs < 0) {
        return "badEngineTime";
    }
    return findSpanProblem(answer.spans, task.maxTokens, bounds);
}
