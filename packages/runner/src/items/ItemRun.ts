import type { Lot } from "@auburnarch/lots/Lot";
import type { LotItem } from "@auburnarch/lots/LotItem";

/** An item that is to be run, with what its earlier runs came to. */
export interface ItemRun {
    lot: Lot;
    item: LotItem;
    /** By the client's hint; undefined if it gave none. */
    expectedEvents: number | undefined;
    /** Answers of 500 so far. */
    failures: number;
    /** Gives the item up for good. */
    terminate: (reason: string) => void;
}
