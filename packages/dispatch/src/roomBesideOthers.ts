import type { RoomRule } from "./RoomRule.js";

/** Attempts that wait at a full sampler, so that its fair queue has something of ours to choose. */
const waitingAhead = 2;

/**
 * The free places, or where there are none because others hold some, two attempts that wait there. More would be
 * bound to one sampler early and sit behind other jobs while places elsewhere fall free; none at all would leave
 * this team's share to the others, since a gate can only give places to those who wait.
 */
export const roomBesideOthers: RoomRule = ({ limit, load, outstanding, started }) => {
    const free = Math.max(1, limit) - load;
    const isShared = load > outstanding;
    return isShared ? Math.max(free, Math.min(started, limit) + waitingAhead - outstanding) : free;
};
