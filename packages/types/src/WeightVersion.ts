import type { Brand } from "./Brand.js";

/** Version of a policy's weights: a whole number from 0 that its trainer raises by publishing. */
export type WeightVersion = Brand<number, "WeightVersion">;
