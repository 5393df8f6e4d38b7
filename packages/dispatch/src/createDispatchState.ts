import { createWaitingQueue } from "@auburnarch/queue/createWaitingQueue";
import { createNeedForecast } from "./createNeedForecast.js";
import { createPrefixHints } from "./createPrefixHints.js";
import { createSamplerLedger } from "./createSamplerLedger.js";
import type { DispatcherDeps } from "./DispatcherDeps.js";
import type { DispatchPolicy } from "./DispatchPolicy.js";
import type { DispatchState } from "./DispatchState.js";
import type { Work } from "./Work.js";

/** State of a dispatcher that has nothing to do yet. */
export function createDispatchState(
    deps: Pick<DispatcherDeps, "job">,
    policy: DispatchPolicy,
): DispatchState {
    return {
        policy,
        queue: createWaitingQueue<Work>(policy.order),
        wanted: new Map(),
        attempts: new Set(),
        ledger: createSamplerLedger(),
        lengths: policy.createLengthModel(),
        needs: createNeedForecast(() => deps.job().stepNeedMs),
        hints: createPrefixHints(),
        attemptsSent: 0,
        isStopped: false,
    };
}
