import type { Brand } from "./Brand.js";

/** Name of a region, which contains several failure domains. */
export type Region = Brand<string, "Region">;
