/** A numbered result that callers, operators and logs see; `docs/result-codes.md` has the table. */
export interface ResultCode {
    /** Four digits; the first names the family. */
    number: number;
    name: string;
    httpStatus: number;
    /** What went wrong, one sentence. */
    meaning: string;
    /** What the reader does next, one sentence. */
    action: string;
}
