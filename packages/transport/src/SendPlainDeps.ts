import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { RetryBudget } from "./RetryBudget.js";
import type { SendGuards } from "./SendGuards.js";

/** Dependencies of `sendPlain`. */
export interface SendPlainDeps {
    /** Picks a sampler that has not been tried yet; undefined if none is left. Logs its own decision. */
    pick: (tried: SamplerId[]) => SamplerId | undefined;
    sidecar: (sampler: SamplerId) => SidecarPort;
    newAttempt: () => AttemptId;
    retryBudget: RetryBudget;
    /** Includes the first attempt. */
    maxAttempts: number;
    clock: Clock;
    logger: Logger;
    guards?: SendGuards;
}
