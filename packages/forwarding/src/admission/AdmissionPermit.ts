import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { ForwardingOutcome } from "../ForwardingOutcome.js";
import type { SamplerAttemptOutcome } from "../SamplerAttemptOutcome.js";

/** Permits one request to be sent, and receives what its attempts show about the load. */
export interface AdmissionPermit {
    /** The service under which the request was admitted; its first attempt goes there. */
    service: ServiceId;
    /** Whether one more hedge or retry of a request that may have run fits the service's budget. */
    mayRepeat(): boolean;
    /** `isRepeat`: an earlier attempt may have run, so a retry after "not run" is none. */
    recordSent(isRepeat: boolean): void;
    /** `isGivenUp`: this process cancelled the attempt or its time ran out. */
    recordAttempt(
        sampler: RegisteredSampler,
        outcome: SamplerAttemptOutcome,
        tookMs: number,
        isGivenUp: boolean,
    ): void;
    /** Frees the slot once the answer has been read, and derives Retry-After of a request that has not run. */
    finish(outcome: ForwardingOutcome): ForwardingOutcome;
}
