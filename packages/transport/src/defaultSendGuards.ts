import { attemptRetentionMs } from "@auburnarch/types/attemptRetentionMs";
import type { SendGuards } from "./SendGuards.js";

/** Guards used in production; only the fault bench replaces them. */
export const defaultSendGuards: SendGuards = {
    sameIncarnation: (sentTo, answered) => sentTo === answered,
    withinMemory: ageMs => ageMs < attemptRetentionMs,
    repeatUnknown: idempotent => idempotent,
};
