import type { BodyHold } from "./BodyHold.js";

/** Bounds the bytes of request bodies that a process holds at once. */
export interface BodyBudget {
    /** Opens the hold of one request; bodies of one owner share its part of the budget. */
    open(owner?: string): BodyHold;
    heldBytes(): number;
    /** Length of the largest body that fits while nothing else is held. */
    maxBodyBytes: number;
}
