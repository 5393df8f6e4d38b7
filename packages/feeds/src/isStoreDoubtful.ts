import type { StoreReach } from "./StoreReach.js";
import { suspectAfterMs } from "./suspectAfterMs.js";

/** Whether a process has to assume that its own calls do not reach the store. */
export const isStoreDoubtful = ({ silentMs, unansweredMs }: StoreReach): boolean =>
    silentMs > 0 || unansweredMs > suspectAfterMs;
