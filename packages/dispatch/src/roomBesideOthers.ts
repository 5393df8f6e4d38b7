import type { RoomRule } from "./RoomRule.js";

/** Attempts that wait at a full sampler, so that its fair queue can schedule one of this dispatcher's. */
const waitingAhead = 2;

/**
 * Room for the free slots; on a sampler that is full because of other senders, for two attempts that wait there. More
 * would be bound to one sampler early and queue behind other jobs while slots elsewhere become free. If none waited
 * there, the other teams would get this team's share, since the sampler's sidecar schedules only waiting attempts.
 */
export const roomBesideOthers: RoomRule = ({ limit, load, outstanding, started }) => {
    const free = Math.max(1, limit) - load;
    const isShared = load > outstanding;
    return isShared ? Math.max(free, Math.min(started, limit) + waitingAhead - outstanding) : free;
};
