import type { Brand } from "./Brand.js";

/** Name of a rollout job; unique in a manifest. */
export type JobId = Brand<string, "JobId">;
