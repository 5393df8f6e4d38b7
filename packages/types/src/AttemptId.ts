import type { Brand } from "./Brand.js";

/** Names one try to run a request or a sample on one sampler; never used twice. */
export type AttemptId = Brand<string, "AttemptId">;
