import type { Brand } from "./Brand.js";

/** Object version of the published manifest; higher is newer, 0 means that none is published. */
export type ConfigVersion = Brand<number, "ConfigVersion">;
