import type { AttemptId } from "./AttemptId.js";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { AttemptState } from "./AttemptState.js";
import type { PlainAnswer } from "./PlainAnswer.js";
import type { PlainRequest } from "./PlainRequest.js";
import type { SampleAnswer } from "./SampleAnswer.js";
import type { SampleAttempt } from "./SampleAttempt.js";
import type { SamplerOrder } from "./SamplerOrder.js";
import type { SamplerOrderResult } from "./SamplerOrderResult.js";
import type { SamplerReport } from "./SamplerReport.js";
import type { TokenSpan } from "./TokenSpan.js";
import type { UsageCounter } from "./UsageCounter.js";

/**
 * A sidecar as called by entries and owners, over HTTP or in process. `runSample` and `callPlain` never reject:
 * transport errors are returned as outcomes. The other methods reject with code `sidecarUnreachable`.
 */
export interface SidecarPort {
    /** Streams spans to `onSpan` in order. Aborting `signal` cancels; the answer then contains what was generated. */
    runSample(
        attempt: SampleAttempt,
        onSpan: (span: TokenSpan) => void,
        signal: AbortSignal,
    ): Promise<AttemptOutcome<SampleAnswer>>;
    callPlain(request: PlainRequest, signal: AbortSignal): Promise<AttemptOutcome<PlainAnswer>>;
    queryAttempt(attempt: AttemptId): Promise<AttemptState>;
    order(order: SamplerOrder): Promise<SamplerOrderResult>;
    readReport(): Promise<SamplerReport>;
    readUsage(): Promise<UsageCounter[]>;
    /** From now on new work is refused with code `leaving`; running work continues. */
    beginLeaving?(): void | Promise<void>;
}
