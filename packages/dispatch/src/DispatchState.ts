import type { createWaitingQueue } from "@auburnarch/queue/createWaitingQueue";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { createNeedForecast } from "./createNeedForecast.js";
import type { createPrefixHints } from "./createPrefixHints.js";
import type { createSamplerLedger } from "./createSamplerLedger.js";
import type { DispatchPolicy } from "./DispatchPolicy.js";
import type { LengthModel } from "./LengthModel.js";
import type { RunningAttempt } from "./RunningAttempt.js";
import type { Work } from "./Work.js";

/** What the parts of one dispatcher share. */
export interface DispatchState {
    policy: DispatchPolicy;
    queue: ReturnType<typeof createWaitingQueue<Work>>;
    /** Every sample that is wanted and not made, waiting or running. */
    wanted: Map<SampleId, Work>;
    attempts: Set<RunningAttempt>;
    ledger: ReturnType<typeof createSamplerLedger>;
    lengths: LengthModel;
    needs: ReturnType<typeof createNeedForecast>;
    hints: ReturnType<typeof createPrefixHints>;
    attemptsSent: number;
    isStopped: boolean;
}
