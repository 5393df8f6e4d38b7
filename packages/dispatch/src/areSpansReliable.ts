import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SamplerView } from "@auburnarch/types/SamplerView";

/**
 * Whether the streamed spans of an attempt that ended with `code`, without an answer, may be built upon. An engine
 * that does not state versions may have had other weights meanwhile: the sidecar notices only at the attempt's end,
 * and a sample continued behind such spans would name versions that did not make it.
 */
export function areSpansReliable(sampler: SamplerView | undefined, code: ResultCode): boolean {
    return sampler?.report.stampsVersions === true && code !== resultCodes.incarnationChanged;
}
