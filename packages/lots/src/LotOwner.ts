import type { LotEntry } from "./LotEntry.js";

/** What those who tell results of a job have to know of it. */
export type LotOwner = Pick<LotEntry, "total" | "team">;
