/** Collects what breaks a promise. */
export interface Witness {
    /** Notes a breach unless `holds`. */
    check(holds: boolean, promise: string, detail: unknown): void;
    breaches(): { atMs: number; promise: string; detail: string; }[];
}
