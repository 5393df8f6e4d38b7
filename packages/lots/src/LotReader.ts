import type { TeamId } from "@auburnarch/types/TeamId";
import type { Lot } from "./Lot.js";
import type { LotId } from "./LotId.js";
import type { LotItem } from "./LotItem.js";
import type { LotPage } from "./LotPage.js";

/** Answers readers of batch jobs. Every call may reject as the store does. */
export interface LotReader {
    /**
     * Results from position `after` on, waiting up to `waitMs` for the first of them; undefined if there is no such
     * job of the caller's team.
     */
    read(
        lot: LotId,
        caller: TeamId | undefined,
        after: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<LotPage | undefined>;
    /** Notes a job that was accepted here. */
    keep(lot: Lot): void;
    /** An item as it was submitted; undefined if there is none of the caller's team. */
    readItem(lot: LotId, caller: TeamId | undefined, item: string): Promise<LotItem | undefined>;
}
