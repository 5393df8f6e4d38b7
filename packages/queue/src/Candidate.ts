import type { TeamQueue } from "./TeamQueue.js";

/** The first item of a team, which is compared with those of the other teams. */
export interface Candidate<Item> {
    item: Item;
    teamQueue: TeamQueue<Item>;
}
