import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SamplerView } from "@auburnarch/types/SamplerView";

/**
 * Whether another attempt may continue from the streamed spans of an attempt that ended with `code` and without an
 * answer. An engine that doesn't stamp versions on its tokens may have loaded other weights in the meantime: the
 * sidecar detects this only at the end of the attempt, and a sample continued from such spans would carry versions
 * that did not generate it. Of an answer without end nobody knows where it should have ended.
 */
export function areSpansReliable(sampler: SamplerView | undefined, code: ResultCode): boolean {
    return sampler?.report.stampsVersions === true
        && code !== resultCodes.incarnationChanged
        && code !== resultCodes.answerTooLong;
}
