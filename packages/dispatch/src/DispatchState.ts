import type { createWaitingQueue } from "@auburnarch/queue/createWaitingQueue";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { createNeedForecast } from "./createNeedForecast.js";
import type { createPrefixHints } from "./createPrefixHints.js";
import type { createSamplerStats } from "./createSamplerStats.js";
import type { DispatchPolicy } from "./DispatchPolicy.js";
import type { LengthModel } from "./LengthModel.js";
import type { RunningAttempt } from "./RunningAttempt.js";
import type { SampleWork } from "./SampleWork.js";

/** State that is shared by the parts of one dispatcher. */
export interface DispatchState {
    policy: DispatchPolicy;
    queue: ReturnType<typeof createWaitingQueue<SampleWork>>;
    /** Every submitted sample that is not finished, waiting or running. */
    unfinished: Map<SampleId, SampleWork>;
    attempts: Set<RunningAttempt>;
    samplerStats: ReturnType<typeof createSamplerStats>;
    lengthModel: LengthModel;
    needForecast: ReturnType<typeof createNeedForecast>;
    prefixHints: ReturnType<typeof createPrefixHints>;
    attemptsSent: number;
    isStopped: boolean;
}
