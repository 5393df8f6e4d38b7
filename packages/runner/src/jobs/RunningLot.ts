import type { LotId } from "@auburnarch/lots/LotId";

/** A job that a runner runs, and for how long it has. */
export interface RunningLot {
    lot: LotId;
    runMs: number;
}
