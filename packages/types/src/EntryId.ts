import type { Brand } from "./Brand.js";

/** Name of an entry process. */
export type EntryId = Brand<string, "EntryId">;
