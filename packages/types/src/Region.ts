import type { Brand } from "./Brand.js";

/** Name of a region of several failure domains. */
export type Region = Brand<string, "Region">;
