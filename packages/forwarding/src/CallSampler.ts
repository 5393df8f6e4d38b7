import type { SamplerReply } from "./SamplerReply.js";
import type { SamplerRequest } from "./SamplerRequest.js";

/** Sends a request to one sampler. Never rejects; aborting the signal closes the connection. */
export type CallSampler = (request: SamplerRequest, signal: AbortSignal) => Promise<SamplerReply>;
