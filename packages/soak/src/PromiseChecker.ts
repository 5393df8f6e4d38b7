/** Checks promises and records breaches. */
export interface PromiseChecker {
    /** Records a breach unless `isKept`. */
    check(isKept: boolean, promise: string, detail: unknown): void;
    breaches(): { atMs: number; promise: string; detail: string; }[];
}
