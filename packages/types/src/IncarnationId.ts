import type { Brand } from "./Brand.js";

/** Drawn at random at each start of a process, to distinguish its runs. */
export type IncarnationId = Brand<string, "IncarnationId">;
