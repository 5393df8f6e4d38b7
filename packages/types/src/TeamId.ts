import type { Brand } from "./Brand.js";

/** Name of a team, which is charged for engine time and samples. */
export type TeamId = Brand<string, "TeamId">;
