import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** How a request at one sampler ended, up to the head of its answer. */
export type SamplerReply =
    | {
        kind: "answered";
        status: number;
        /** Headers that go on to the caller unchanged. */
        headers: Record<string, string>;
        /** Rejects if the answer is cut short. */
        body: AsyncIterable<Uint8Array>;
        /** The sampler's proof that the answer is its own; undefined if it sent none. */
        signature: string | undefined;
        /** Version of the weights at the beginning of the answer; undefined for a plain service. */
        weightVersion: WeightVersion | undefined;
    }
    /** The sampler said so, or no byte of the request was written. */
    | { kind: "notRun"; code: ResultCode; detail: string; }
    | { kind: "unknown"; code: ResultCode; detail: string; };
