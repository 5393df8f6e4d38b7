import type { RoomRule } from "@auburnarch/dispatch/RoomRule";

/** Share of a sampler's slots that a runner may fill regardless of its peers' reports, which are up to 400 ms old. */
const minSlotShare = 1 / 3;

/** Number of slots that neither this runner nor its peers have filled. */
export const countFreeSlots: RoomRule = ({ limit, load, outstanding }) =>
    Math.max(limit - load, Math.floor(limit * minSlotShare) - outstanding);
