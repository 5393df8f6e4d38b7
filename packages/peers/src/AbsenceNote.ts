/** When the store was last away, and not only this process cut off from it. */
export interface AbsenceNote {
    /** Infinite if it has been there all the while, or no runner said otherwise while this process was cut off. */
    awayMs(): number;
    /** A runner says that the store was away this long ago. */
    noteAway(awayMs: number): void;
    /** A runner says that the store has been there all the while. */
    noteThere(): void;
}
