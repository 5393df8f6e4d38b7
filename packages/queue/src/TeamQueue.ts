/** The waiting and running items of one team in a fair queue. */
export interface TeamQueue<Item> {
    items: Item[];
    running: number;
    /** Charged engine time divided by the share; the team with the lowest value runs next. */
    virtualMs: number;
}
