import type { RoomRule } from "./RoomRule.js";

/** As many of ours as the sampler's limit, whoever else sends there. */
export const roomWithinLimit: RoomRule = ({ limit, outstanding }) => Math.max(1, limit) - outstanding;
