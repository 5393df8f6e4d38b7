import type { Brand } from "./Brand.js";

/** Name of a policy whose weights a trainer publishes version by version. */
export type PolicyId = Brand<string, "PolicyId">;
