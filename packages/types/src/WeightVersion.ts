import type { Brand } from "./Brand.js";

/** Version of a policy's weights: an integer from 0 that increases as its trainer publishes. */
export type WeightVersion = Brand<number, "WeightVersion">;
