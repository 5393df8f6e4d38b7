import type { Brand } from "./Brand.js";

/** Object version of the published manifest; higher is newer, 0 is none. */
export type ConfigVersion = Brand<number, "ConfigVersion">;
