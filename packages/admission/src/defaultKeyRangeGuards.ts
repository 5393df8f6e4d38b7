import type { KeyRangeGuards } from "./KeyRangeGuards.js";

/**
 * An earlier owner took keys minted up to `skewMs` ahead of its clock, and its clock may be `skewMs` ahead of this
 * one: twice the skew after the takeover, no key can be one that it ran.
 */
export const defaultKeyRangeGuards: KeyRangeGuards = {
    mayAccept: isHeld => isHeld,
    isAfterTakeover: (mintedAtMs, takenOverAtMs, skewMs) => mintedAtMs > takenOverAtMs + 2 * skewMs,
    isRemembered: (mintedAtMs, nowMs, windowMs) => mintedAtMs >= nowMs - windowMs,
    isSeen: isFound => isFound,
};
