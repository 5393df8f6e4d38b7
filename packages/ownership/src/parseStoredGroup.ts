import type { JobId } from "@auburnarch/types/JobId";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import { findSpanProblem } from "@auburnarch/validation/findSpanProblem";
import { isWholeGroup } from "@auburnarch/validation/isWholeGroup";
import type { VersionBounds } from "@auburnarch/validation/VersionBounds";
import { sampleGroupSchema } from "./sampleGroupSchema.js";
import { sampleIdOf } from "./sampleIdOf.js";
import type { StepDocument } from "./StepDocument.js";

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/**
 * Parses a stored group and verifies it like a newly generated one: a record from another VM's disk may be
 * truncated, outdated or of another step. Undefined if it is invalid; its samples are then generated again.
 */
export function parseStoredGroup(
    job: JobId,
    document: StepDocument,
    body: string,
    bounds: VersionBounds,
): SampleGroup | undefined {
    const group = sampleGroupSchema.safeParse(parseJson(body)).data as SampleGroup | undefined;
    const prompt = group === undefined ? undefined : document.prompts[group.group];
    if (group === undefined || prompt === undefined || !isWholeGroup(group, document.groupSize)) {
        return undefined;
    }
    const isValid = group.samples.every(sample =>
        sample.sample === sampleIdOf(job, document.step, group.group, sample.index)
        && sample.tokens === sample.spans.reduce((sum, span) => sum + span.tokens, 0)
        && sample.engineMs >= 0
        && findSpanProblem(sample.spans, prompt.maxTokens, bounds) === undefined
    );
    return isValid ? group : undefined;
}
