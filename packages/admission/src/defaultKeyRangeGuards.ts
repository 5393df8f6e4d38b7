import type { KeyRangeGuards } from "./KeyRangeGuards.js";

/**
 * The default guards. An earlier owner accepted keys created up to `skewMs` ahead of its clock, and its clock may be
 * `skewMs` ahead of this one. So it cannot have run a key created later than twice the skew after the takeover.
 */
export const defaultKeyRangeGuards: KeyRangeGuards = {
    mayAccept: isHeld => isHeld,
    isAfterTakeover: (createdAtMs, takenOverAtMs, skewMs) => createdAtMs > takenOverAtMs + 2 * skewMs,
    isRemembered: (createdAtMs, nowMs, windowMs) => createdAtMs >= nowMs - windowMs,
    isSeen: isFound => isFound,
};
