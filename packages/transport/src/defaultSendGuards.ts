import { attemptRetentionMs } from "@auburnarch/types/attemptRetentionMs";
import type { SendGuards } from "./SendGuards.js";

/** The guards in force outside the fault bench. */
export const defaultSendGuards: SendGuards = {
    sameIncarnation: (sentTo, answered) => sentTo === answered,
    withinMemory: ageMs => ageMs < attemptRetentionMs,
    repeatUnknown: idempotent => idempotent,
};
