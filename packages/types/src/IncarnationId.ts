import type { Brand } from "./Brand.js";

/** Drawn anew at each start of a process; tells one run of it from the next. */
export type IncarnationId = Brand<string, "IncarnationId">;
