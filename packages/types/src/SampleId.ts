import type { Brand } from "./Brand.js";

/** `job/step/group/index`: identifies a sample across all its attempts. */
export type SampleId = Brand<string, "SampleId">;
