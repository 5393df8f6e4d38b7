import type { RoomRule } from "./RoomRule.js";

/** Baseline: every sample is sent at once and waits at the samplers. */
export const roomUnbounded: RoomRule = () => Infinity;
