import type { Brand } from "./Brand.js";

/** `job/step/group/index`: the identity of a sample whatever the number of its attempts. */
export type SampleId = Brand<string, "SampleId">;
