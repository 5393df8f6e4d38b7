import type { Brand } from "./Brand.js";

/** Name of a policy, of whose weights a trainer publishes one version after another. */
export type PolicyId = Brand<string, "PolicyId">;
