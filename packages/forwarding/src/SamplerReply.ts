import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Result of a request at one sampler, up to the headers of its answer. */
export type SamplerReply =
    | {
        kind: "answered";
        status: number;
        /** Headers that are forwarded to the caller unchanged. */
        headers: Record<string, string>;
        /** Rejects if the answer is cut short. */
        body: AsyncIterable<Uint8Array>;
        /** The sampler's signature of the answer; undefined if it sent none. */
        signature: string | undefined;
        /** Version of the weights at the start of the answer; undefined for a plain service. */
        weightVersion: WeightVersion | undefined;
    }
    /** The sampler reported it, or no byte of the request was written. */
    | { kind: "notRun"; code: ResultCode; detail: string; }
    | { kind: "unknown"; code: ResultCode; detail: string; };
