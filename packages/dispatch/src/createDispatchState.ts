import { createWaitingQueue } from "@auburnarch/queue/createWaitingQueue";
import { createNeedForecast } from "./createNeedForecast.js";
import { createPrefixHints } from "./createPrefixHints.js";
import { createSamplerStats } from "./createSamplerStats.js";
import type { DispatcherDeps } from "./DispatcherDeps.js";
import type { DispatchPolicy } from "./DispatchPolicy.js";
import type { DispatchState } from "./DispatchState.js";
import type { SampleWork } from "./SampleWork.js";

/** Creates the state of an idle dispatcher. */
export function createDispatchState(
    deps: Pick<DispatcherDeps, "job">,
    policy: DispatchPolicy,
): DispatchState {
    return {
        policy,
        queue: createWaitingQueue<SampleWork>(policy.order),
        unfinished: new Map(),
        attempts: new Set(),
        samplerStats: createSamplerStats(),
        lengthModel: policy.createLengthModel(),
        needForecast: createNeedForecast(() => deps.job().stepNeedMs),
        prefixHints: createPrefixHints(),
        attemptsSent: 0,
        isStopped: false,
    };
}
