import type { RoomRule } from "./RoomRule.js";

/** Fills the sampler's limit with this dispatcher's attempts, regardless of other senders. */
export const roomWithinLimit: RoomRule = ({ limit, outstanding }) => Math.max(1, limit) - outstanding;
