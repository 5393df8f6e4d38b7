/** Replaces one range of a base text. The hex `sha256` of the result detects a wrong base. */
export interface TextDelta {
    startChars: number;
    removedChars: number;
    inserted: string;
    sha256: string;
}
