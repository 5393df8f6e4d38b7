import type { RoomRule } from "@auburnarch/dispatch/RoomRule";

/** Places of a sampler that a runner may fill whatever its peers say they have there, since that is up to 400 ms old. */
const minSlotShare = 1 / 3;

/** The places that neither this runner nor its peers have filled. */
export const countFreeSlots: RoomRule = ({ limit, load, outstanding }) =>
    Math.max(limit - load, Math.floor(limit * minSlotShare) - outstanding);
