import type { createWaitingQueue } from "@auburnarch/queue/createWaitingQueue";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { createNeedForecast } from "./createNeedForecast.js";
import type { createPrefixHints } from "./createPrefixHints.js";
import type { createSamplerStats } from "./createSamplerStats.js";
import type { DispatchPolicy } from "./DispatchPolicy.js";
import type { LengthModel } from "./LengthModel.js";
import type { RunningAttempt } from "./RunningAttempt.js";
import type { SampleWork } from "./SampleWork.js";

/** What the parts of one dispatcher share. */
export interface DispatchState {
    policy: DispatchPolicy;
    queue: ReturnType<typeof createWaitingQueue<SampleWork>>;
    /** Every sample that is wanted and not made, waiting or running. */
    unfinished: Map<SampleId, SampleWork>;
    attempts: Set<RunningAttempt>;
    samplerStats: ReturnType<typeof createSamplerStats>;
    lengthModel: LengthModel;
    needForecast: ReturnType<typeof createNeedForecast>;
    prefixHints: ReturnType<typeof createPrefixHints>;
    attemptsSent: number;
    isStopped: boolean;
}
