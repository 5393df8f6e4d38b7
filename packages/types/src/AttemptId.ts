import type { Brand } from "./Brand.js";

/** Identifies one attempt to run a request or a sample on one sampler; never reused. */
export type AttemptId = Brand<string, "AttemptId">;
