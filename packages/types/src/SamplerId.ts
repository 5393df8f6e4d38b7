import type { Brand } from "./Brand.js";

/** Name of a sampler: one backend server with its sidecar. */
export type SamplerId = Brand<string, "SamplerId">;
