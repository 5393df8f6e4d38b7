/** Collects what breaks a promise. */
export interface PromiseChecker {
    /** Notes a breach unless `holds`. */
    check(isKept: boolean, promise: string, detail: unknown): void;
    breaches(): { atMs: number; promise: string; detail: string; }[];
}
