import type { Brand } from "./Brand.js";

/** Name of a failure domain. */
export type FailureDomain = Brand<string, "FailureDomain">;
