import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SamplerReply } from "./SamplerReply.js";

/** Result for the caller: a sampler's answer, or a code whose family states whether the request may have run. */
export type ForwardingOutcome =
    & (
        | Extract<SamplerReply, { kind: "answered"; }>
        | { kind: "failed"; code: ResultCode; detail: string; retryAfterMs?: number; }
    )
    & {
        /** Number of attempts that a sampler answered with status 500; such an attempt has run and failed. */
        failedRuns?: number;
    };
