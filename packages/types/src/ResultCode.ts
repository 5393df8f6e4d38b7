/** A numbered result shown to callers, to operators and in logs; see `docs/result-codes.md`. */
export interface ResultCode {
    /** Four digits; the first is the category. */
    number: number;
    name: string;
    httpStatus: number;
    /** What went wrong, in one sentence. */
    meaning: string;
    /** What the reader should do next, in one sentence. */
    action: string;
}
