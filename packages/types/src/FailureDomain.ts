import type { Brand } from "./Brand.js";

/** Name of a failure domain: a place. */
export type FailureDomain = Brand<string, "FailureDomain">;
