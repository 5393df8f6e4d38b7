import { hasGroup } from "@auburnarch/cursors/hasGroup";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { JobId } from "@auburnarch/types/JobId";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { VersionBounds } from "@auburnarch/validation/VersionBounds";
import { sampleIdOf } from "./sampleIdOf.js";

interface PageToCheck {
    job: JobId;
    step: number;
    groupSize: number;
    /** Bitmap of the groups that the reader's cursor covers. */
    delivered: Uint8Array;
    groups: SampleGroup[];
    bounds: VersionBounds;
}

/**
 * Checks the delivery invariants on a page that is about to be sent; false if one is violated. Independent of the
 * guards, so that it also detects a guard that is switched off or wrong.
 */
export function checkPageInvariants(invariants: Invariants, page: PageToCheck): boolean {
    const { job, step, groupSize, bounds } = page;
    return page.groups.every(group => {
        const fields = { job, step, group: group.group };
        const spans = group.samples.flatMap(sample => sample.spans);
        const hasProvenance = group.samples.every(sample => sample.spans.length > 0)
            && spans.every(span => Number.isSafeInteger(span.version));
        const hasExpectedSamples = group.samples.length === groupSize
            && group.samples.every((sample, index) =>
                sample.sample === sampleIdOf(job, step, group.group, index)
            );
        const isWithinStalenessBound = spans.every(span => span.version >= bounds.minVersion);
        return [
            invariants.check(resultCodes.provenanceMissing, hasProvenance, fields),
            invariants.check(resultCodes.answerMixed, hasExpectedSamples, fields),
            invariants.check(resultCodes.staleDelivered, isWithinStalenessBound, fields),
            invariants.check(resultCodes.deliveredTwice, !hasGroup(page.delivered, group.group), fields),
        ].every(isSatisfied => isSatisfied);
    });
}
