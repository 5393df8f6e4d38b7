import type { RunningLot } from "./RunningLot.js";

/** The jobs that this runner runs. */
export interface LotBoard {
    running(): RunningLot[];
    /** Looks again at which jobs are this runner's. */
    refresh(): void;
    /** Takes no job any more and hands over those it has. */
    leave(): Promise<void>;
}
