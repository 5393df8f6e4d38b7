/** A text as a change of one stretch of an earlier text. `sha256` in hex of the result tells a wrong base. */
export interface TextDelta {
    startChars: number;
    removedChars: number;
    inserted: string;
    sha256: string;
}
