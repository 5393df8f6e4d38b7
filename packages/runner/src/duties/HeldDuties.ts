import type { FencingNumber } from "@auburnarch/types/FencingNumber";

/** The right to perform the duties, from the acquisition of the lease on. */
export interface HeldDuties {
    /** Increases with each holder. */
    fencing: FencingNumber;
    /** Checked before each call: true only if no later holder can have acted yet. */
    mayAct(): boolean;
}
