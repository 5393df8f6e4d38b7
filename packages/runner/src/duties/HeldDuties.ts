import type { FencingNumber } from "@auburnarch/types/FencingNumber";

/** The right to act, from its acquisition on. */
export interface HeldDuties {
    /** Rises with each holder. */
    fencing: FencingNumber;
    /** Asked before each call: no later holder can have acted yet. */
    mayAct(): boolean;
}
