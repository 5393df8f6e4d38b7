import type { LotId } from "@auburnarch/lots/LotId";

/** The jobs that this runner runs. */
export interface LotBoard {
    running(): LotId[];
    /** Looks again at which jobs are this runner's. */
    refresh(): void;
    /** Takes no job any more and hands over those it has. */
    leave(): Promise<void>;
}
